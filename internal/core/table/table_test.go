package table

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const header = "kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256\n"

const example = header +
	"service,route-desk,,,,,,,,30s,\n" +
	"job,offers,route-desk,,,,,100,,,\n" +
	"account,atlas,,2,,,,,,,\n" +
	"account,hamasaki,,1,8,,,,,,\n"

func parse(t testing.TB, content string) Table {
	f, err := Decode([]byte(content))
	qt.Assert(t, err, qt.IsNil)
	return f.Table
}

func edit(t testing.TB, pairs ...string) Table {
	return parse(t, strings.NewReplacer(pairs...).Replace(example))
}

// Guards against rejecting or misreading a copy that a spreadsheet saved in its own
// CSV dialect: byte order mark, line endings, quotes, semicolons, empty rows.
func TestDecodeSpreadsheetDialects(t *testing.T) {
	want := parse(t, example)
	body := strings.ReplaceAll(example, ",", ";")
	for _, content := range []string{
		"\ufeff# poplarlever table revision 7,,,,,,\r\n" + strings.ReplaceAll(example, "\n", "\r\n"),
		"\"# poplarlever table revision 7\";;;\n" + body + ";;;;;;;;;;\n",
	} {
		f, err := Decode([]byte(content))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.Revision, qt.Equals, uint64(7))
		qt.Assert(t, f.Table.Equal(want), qt.IsTrue)
	}
	f, err := Decode(EncodeFile(File{Table: want, Revision: 9}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.Revision, qt.Equals, uint64(9))
	qt.Assert(t, f.Table.Equal(want), qt.IsTrue)
}

// Guards against an error that does not tell the operator which cell is wrong.
func TestValidationNamesRowColumnValue(t *testing.T) {
	for _, c := range []struct{ row, want string }{
		{"account,atlas,,0,,,,,,,", `row 2 account atlas: column weight: value "0"; allowed: number from 0.001 to 1000000`},
		{"account,atlas,,NaN,,,,,,,", `column weight: value "NaN"`},
		{"account,atlas,,1,1.5,,,,,,", `column max_running: value "1.5"`},
		{"account,atlas,,1,,,5,,,,", `column tasks_per_second: value "5"; allowed: nothing in a row of kind account`},
		{"account,Atlas,,1,,,,,,,", `column name: value "Atlas"`},
		{"account,atlas,,,,,,5,,,", `column max_tasks: value "5"; allowed: nothing in a row of kind account`},
		{"account,atlas,,,,,,,,,abc", `column token_sha256: value "abc"; allowed: 64 hexadecimal digits`},
		{"tenant,atlas,,,,,,,,,", `column kind: value "tenant"; allowed: service, job or account`},
		{"service,s,,,,,,,,-1s,", `column default_deadline: value "-1s"`},
		{"job,offers,,,,,,,,,", `column service: value ""`},
		{"job,offers,nowhere,,,,,,,,", `job nowhere/offers: column service: value "nowhere"; allowed: name of a service row`},
		{"account,a,,,,,,,,,\naccount,a,,,,,,,,,", `row 3 account a: column name: value "a"; allowed: each row once`},
		{"account,a,,,,,,,,,,x", `value "x"; allowed: 11 fields`},
	} {
		_, err := Decode([]byte(header + c.row + "\n"))
		qt.Assert(t, err, qt.ErrorMatches, `(?s).*\Q`+c.want+`\E.*`, qt.Commentf("%s", c.row))
	}
	for _, h := range []string{"", "kind,name\n", strings.Replace(header, "weight", "wait", 1), strings.Replace(header, "weight", "kind", 1)} {
		_, err := Decode([]byte(h))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", h))
	}
}

// Guards against a validation that reports only the first error.
func TestAllErrorsAreReported(t *testing.T) {
	_, err := Decode([]byte(header + "account,a,,x,y,,,,,,\nservice,B,,,,,,,,,\n"))
	qt.Assert(t, err.(Errors), qt.HasLen, 3)
}

// Guards against edits lost when operators change the table concurrently.
func TestMerge(t *testing.T) {
	base := edit(t)
	mine := edit(t, "atlas,,2,", "atlas,,3,", "100,", "200,")
	theirs := edit(t, "atlas,,2,,", "atlas,,2,9,", "hamasaki,,1,", "hamasaki,,5,")
	merged, conflicts, err := Merge(base, mine, theirs)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conflicts, qt.HasLen, 0)
	want := edit(t, "atlas,,2,,", "atlas,,3,9,", "100,", "200,", "hamasaki,,1,", "hamasaki,,5,")
	qt.Assert(t, merged.Equal(want), qt.IsTrue)
	qt.Assert(t, base.Apply(Diff(base, merged)).Equal(merged), qt.IsTrue)
	qt.Assert(t, merged.Apply(Reverse(Diff(base, merged))).Equal(base), qt.IsTrue)
}

// Guards against a merge that picks one of two values for the same cell, or that
// restores a removed row.
func TestMergeConflicts(t *testing.T) {
	base := edit(t)
	removed := edit(t, "account,atlas,,2,,,,,,,\n", "")
	weight3, weight4 := edit(t, "atlas,,2,", "atlas,,3,"), edit(t, "atlas,,2,", "atlas,,4,")
	_, conflicts, err := Merge(base, weight3, weight4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, conflicts, qt.DeepEquals, []Conflict{{Row: "account atlas", Column: "weight", Base: "2", Mine: "3", Theirs: "4"}})
	_, conflicts, _ = Merge(base, removed, weight4)
	qt.Assert(t, conflicts, qt.HasLen, 1)
	_, conflicts, _ = Merge(removed, weight3, weight4)
	qt.Assert(t, conflicts, qt.HasLen, 1)
	merged, conflicts, _ := Merge(base, removed, base)
	qt.Assert(t, conflicts, qt.HasLen, 0)
	qt.Assert(t, merged.Equal(removed), qt.IsTrue)
}

// Guards against a merge of two valid edits into an invalid table.
func TestMergeValidatesResult(t *testing.T) {
	base := parse(t, header+"service,s,,,,,,,,,\n")
	mine := parse(t, header+"service,s,,,,,,,,,\njob,j,s,,,,,,,,\n")
	theirs := parse(t, header)
	_, _, err := Merge(base, mine, theirs)
	qt.Assert(t, err, qt.ErrorMatches, `job s/j: column service.*`)
}

// Guards against limits and token hashes that are missing from the policy.
func TestPolicy(t *testing.T) {
	hash := strings.Repeat("a1", 32)
	table := edit(t, "atlas,,2,,,,,,,", "atlas,,2,,7,,,,,"+hash)
	p := Policy(4, table)
	qt.Assert(t, p.Revision, qt.Equals, uint64(4))
	offers := p.Services["route-desk"].JobTypes["offers"]
	qt.Assert(t, offers.MaxTasks, qt.Equals, 100)
	qt.Assert(t, offers.DefaultDeadline.String(), qt.Equals, "30s")
	qt.Assert(t, p.Accounts["atlas"].MaxQueued, qt.Equals, 7)
	qt.Assert(t, p.Accounts["atlas"].TokenSHA256, qt.Equals, hash)
	qt.Assert(t, p.Accounts["hamasaki"].MaxRunning, qt.Equals, 8)
	qt.Assert(t, strings.Contains(string(Encode(table)), hash), qt.IsTrue)
}

// Guards against an accepted file that decodes to a different table after it was
// encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte("# poplarlever table revision 3\n" + strings.ReplaceAll(example, ",", ";")))
	f.Add([]byte(header + "\"a\nb\",,\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		first, err := Decode(content)
		if err != nil {
			return
		}
		again, err := Decode(EncodeFile(first))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Revision, qt.Equals, first.Revision)
		qt.Assert(t, again.Table.Equal(first.Table), qt.IsTrue)
	})
}
