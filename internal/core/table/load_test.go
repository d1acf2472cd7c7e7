package table

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/poplarlever/poplarlever/internal/core/entry"
)

// load loads a stored table and returns its policy.
func load(c *qt.C, content string) (entry.Policy, []Unapplied) {
	t, unapplied, err := Load([]byte(content))
	c.Assert(err, qt.IsNil)
	return Policy(1, t), unapplied
}

// Guards against an older program that puts nothing of a newer table in force because of a
// column, a kind of row or a value that it does not know.
func TestOlderProgramLoadsNewerTable(t *testing.T) {
	c := qt.New(t)
	const content = "kind,name,service,weight,max_running,burst,default_deadline\n" +
		"service,route-desk,,,,7,72h\n" +
		"region,north,,,,,\n" +
		"job,offers,route-desk,,,,next week\n" +
		"account,atlas,,5e5,many,,\n" +
		"account,hamasaki,,1,8,,\n"
	p, unapplied := load(c, content)
	c.Check(p.Services["route-desk"].DefaultDeadline, qt.Equals, 72*time.Hour)
	c.Check(p.Services["route-desk"].JobTypes, qt.HasLen, 1)
	c.Check(p.Accounts["atlas"], qt.Equals, entry.AccountPolicy{Weight: 5e5})
	c.Check(p.Accounts["hamasaki"], qt.Equals, entry.AccountPolicy{Weight: 1, MaxRunning: 8})
	var messages []string
	for _, u := range unapplied {
		if u.Row != "header" || u.Value != "" {
			messages = append(messages, u.Error())
		}
	}
	c.Check(messages, qt.DeepEquals, []string{
		`header: column burst: value "burst": ignored`,
		`row 3: column kind: value "region": row_left_out`,
		`job route-desk/offers: column default_deadline: value "next week": ignored`,
		`account atlas: column max_running: value "many": ignored`,
	})
}

// Guards against a row that cannot be read and keeps the others out, or leaves no trace.
func TestUnreadableRowsAreLeftOut(t *testing.T) {
	for _, test := range []struct{ row, want string }{
		{"account,,,2,,,,,,,", `row 3: column name: value "": row_left_out`},
		{"job,offers,,,,,,,,,", `job offers: column service: value "": row_left_out`},
		{`account,"atlas"x,,2,,,,,,,`, `row 3: column -: value "parse error on line 3, column 15: extraneous or missing \" in quoted-field": row_left_out`},
		{"account,atlas,,2,,,,,,,,7", `row 3: column -: value "7": ignored`},
		{"account,atlas,,1e400,,,,,,,", `account atlas: column weight: value "1e400": replaced by "1000000"`},
		{"account,atlas,,-1,,,,,,,", `account atlas: column weight: value "-1": replaced by "0.001"`},
		{"account,atlas,,NaN,,,,,,,", `account atlas: column weight: value "NaN": ignored`},
		{"account,atlas,,,0,,,,,,", `account atlas: column max_running: value "0": replaced by "1"`},
		{"account,atlas,,,,,,,,,abc", `account atlas: column token_sha256: value "abc": ignored`},
		{"account,atlas,,,,,,5,,,", `account atlas: column max_tasks: value "5": ignored`},
		{"service,s,,,,,,,,-1s,", `service s: column default_deadline: value "-1s": ignored`},
		{"account,hamasaki,,2,,,,,,,", `account hamasaki: column name: value "hamasaki": row_left_out`},
	} {
		t.Run(test.row, func(t *testing.T) {
			c := qt.New(t)
			p, unapplied := load(c, header+"account,hamasaki,,,8,,,,,,\n"+test.row+"\nservice,last,,,,,,,,,\n")
			c.Check(p.Accounts["hamasaki"].MaxRunning, qt.Equals, 8)
			_, last := p.Services["last"]
			c.Check(last, qt.IsTrue)
			c.Assert(unapplied, qt.HasLen, 1)
			c.Check(unapplied[0].Error(), qt.Equals, test.want)
		})
	}
}

// Guards against a value that is no table and replaces the one in force.
func TestContentThatIsNoTable(t *testing.T) {
	for _, content := range []string{"", "\n", "x\n", "kind,unheard\n", "kind,name\nregion,north\n", "\"kind\"x,name\n", revisionPrefix + "x\nkind,name\n"} {
		_, _, err := Load([]byte(content))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", content))
	}
	_, _, err := Load([]byte("kind,name\n"))
	qt.Check(t, err, qt.IsNil)
}

// Guards against two jobs that claim one host and path prefix, of which any one is reached.
func TestFirstJobKeepsItsRoute(t *testing.T) {
	c := qt.New(t)
	p, unapplied := load(c, "kind,name,service,host,path_prefix\njob,z,s,a.example,/x/\njob,b,s,A.example,/x/\njob,c,s,a.example,\n")
	c.Check(p.Routes, qt.DeepEquals, []entry.Route{{Host: "a.example", PathPrefix: "/x/", Service: "s", JobType: "z"}})
	c.Check(p.Services["s"].JobTypes, qt.HasLen, 3)
	c.Check(unapplied[len(unapplied)-2].Error(), qt.Equals, `job s/b: column path_prefix: value "/x/": ignored`)
	c.Check(unapplied[len(unapplied)-1].Error(), qt.Equals, `job s/c: column path_prefix: value "": ignored`)
}

// Guards against a stored weight with which a run is charged as nothing, or as a time that
// overflows: its account would go before all others for good.
func TestStoredWeightsKeepShares(t *testing.T) {
	c := qt.New(t)
	for _, weight := range []string{"1e400", "1e300", "1e9", "1e-9", "1e-300", "0", "-1", "-1e400", "NaN"} {
		p, _ := load(c, "kind,name,weight\naccount,a,"+weight+"\n")
		charge := func(d time.Duration) float64 { return float64(d) / p.Accounts["a"].Weight }
		c.Check(charge(time.Millisecond) >= 1, qt.IsTrue, qt.Commentf("%s", weight))
		c.Check(charge(1000*time.Hour) < math.MaxInt64, qt.IsTrue, qt.Commentf("%s", weight))
	}
}

// Guards against a table that operators may write and that is in force in another way than
// it was checked.
func TestWhatOperatorsMayWriteIsInForce(t *testing.T) {
	name, count := rapid.StringMatching(`[a-z0-9][a-z0-9._-]{0,62}`), rapid.IntRange(1, 1000)
	qt.Assert(t, flag.Set("rapid.seed", "49"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		content := strings.TrimSuffix(header, "\n") + ",host,path_prefix,priority,max_attempts,response_target,response_factor\n"
		for i := range rapid.IntRange(1, 5).Draw(t, "rows") {
			content += fmt.Sprintf("service,s%d,,,,,,,%d,%dms,,,,,,,\n", i, count.Draw(t, "payload"), count.Draw(t, "deadline"))
			content += fmt.Sprintf("job,%s-%d,s%d,,,,,%d,,,,h%d.Example,/%s/,%d,%d,%ds,%v\n", name.Draw(t, "job")[:1], i, i, count.Draw(t, "tasks"), i,
				name.Draw(t, "path"), count.Draw(t, "priority"), count.Draw(t, "attempts"), count.Draw(t, "target"), rapid.Float64Range(0.001, 1000).Draw(t, "factor"))
			content += fmt.Sprintf("account,a%d,,%v,%d,%d,,,,,%s,,,,,,\n", i, rapid.Float64Range(0.001, 1e6).Draw(t, "weight"), count.Draw(t, "running"),
				count.Draw(t, "queued"), strings.Repeat("A1", 32))
		}
		f, err := Decode([]byte(content))
		if err != nil {
			t.Fatal(err)
		}
		loaded, unapplied, err := Load(Encode(f.Table))
		if err != nil || len(unapplied) > 0 || !loaded.Equal(f.Table) {
			t.Fatalf("%v %v\n%s\n%s", err, unapplied, Encode(f.Table), Encode(loaded))
		}
	})
}

// Guards against stored content that makes the loader panic, or yields a policy with a
// number that the core cannot calculate with.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(header + "job,a,b,,,,,9e99,-1,9999999h,\n\"account,x\naccount,a,,-Inf,1e400,,,,,,\n"))
	f.Add([]byte("kind,name,"))
	f.Add([]byte("kind;name;host;path_prefix;response_factor\njob;a;;;1e308\nservice;\"\r\n\";;;\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		loaded, unapplied, err := Load(content)
		if err != nil {
			return
		}
		for _, u := range unapplied {
			qt.Assert(t, u.Row != "" && u.Column != "" && u.Effect != 0, qt.IsTrue, qt.Commentf("%+v", u))
		}
		p := Policy(1, loaded)
		for _, a := range p.Accounts {
			qt.Assert(t, a.Weight >= minNumber && a.Weight <= maxWeight && a.MaxRunning >= 0 && a.MaxQueued >= 0, qt.IsTrue, qt.Commentf("%+v", a))
		}
		for _, s := range p.Services {
			for _, j := range s.JobTypes {
				qt.Assert(t, j.ResponseFactor >= 0 && j.ResponseTarget >= 0 && j.MaxAttempts >= 0 && j.DefaultDeadline >= 0, qt.IsTrue, qt.Commentf("%+v", j))
			}
		}
	})
}
