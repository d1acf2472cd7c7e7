package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/core/table"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

// tableTimeout bounds one table command, including retries.
const tableTimeout = 15 * time.Second

func tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "read and change the operators' table",
		Description: "The table holds services, their jobs and the client accounts. Edit a copy:\n\n" +
			"   poplarlever table get > table.csv\n" +
			"   poplarlever table diff table.csv\n" +
			"   poplarlever table put table.csv\n\n" +
			"The first line of the copy names its revision. Edits by other operators to\n" +
			"other cells are kept; when the same cell was changed, nothing is written.\n\n" +
			"Exit codes: 0 done, 1 failed and nothing written, 2 bad file or usage,\n" +
			"3 refused because of a conflict, 4 unknown whether it was written.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Value: "127.0.0.1:7300", Usage: "`ADDRESS` of the platform's store"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "who", Usage: "operator's `NAME` in the history; the login name when empty"},
		},
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the table as CSV", Description: tableGetExamples, Action: tableAction(tableGet), Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "revision", Usage: "print an older `REVISION`"},
			}},
			{Name: "diff", Usage: "show what FILE would change", ArgsUsage: "FILE", Description: tableDiffExamples, Action: tableAction(tableDiff)},
			{Name: "put", Usage: "write FILE as the next revision", ArgsUsage: "FILE", Description: tablePutExamples, Action: tableAction(tablePut), Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "base", Usage: "`REVISION` that the file was made from, when its first line does not name it"},
				&cli.StringFlag{Name: "note", Usage: "`TEXT` for the history"},
			}},
			{Name: "history", Usage: "list the last revisions", Description: "   poplarlever table history", Action: tableAction(tableHistory)},
			{Name: "rollback", Usage: "write an old revision's content as the next revision", ArgsUsage: "REVISION", Description: "   poplarlever table rollback 41", Action: tableAction(tableRollback)},
			{Name: "columns", Usage: "describe the columns", Description: "   poplarlever table columns", Action: tableColumns},
		},
	}
}

const (
	tableGetExamples = "   poplarlever table get > table.csv\n" +
		"   poplarlever table get --revision 41"
	tableDiffExamples = "   poplarlever table diff table.csv\n" +
		"   poplarlever table --json diff table.csv"
	tablePutExamples = "   poplarlever table put table.csv\n" +
		"   poplarlever table put --note 'double the weight of atlas' table.csv\n\n" +
		"Use - for standard input."
)

type tableFunc func(context.Context, *cli.Command, *tablestore.Writer) error

// tableAction runs a table command against the store and maps its error to an
// exit code.
func tableAction(f tableFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		ctx, stop := untilSignal(ctx)
		defer stop()
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		w := &tablestore.Writer{Store: store.NewClient(cmd.String("store")), Who: operatorName(cmd)}
		return tableExitError(cmd, f(ctx, cmd, w))
	}
}

func operatorName(cmd *cli.Command) string {
	if who := cmd.String("who"); who != "" {
		return who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// tableFailure is the JSON output of a failed command with --json.
type tableFailure struct {
	Error     string           `json:"error"`
	Conflicts []table.Conflict `json:"conflicts,omitempty"`
	Cells     table.Errors     `json:"cells,omitempty"`
}

// tableExitError returns err with its exit code. With --json the error is printed
// as JSON instead.
func tableExitError(cmd *cli.Command, err error) error {
	if err == nil {
		return nil
	}
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return err
	}
	code := ExitFailed
	failure := tableFailure{Error: err.Error()}
	var conflict *tablestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		code, failure.Conflicts = ExitRefused, conflict.Conflicts
	case errors.As(err, &failure.Cells):
		code = ExitUsage
	case store.IsOutcomeUnknown(err):
		code = ExitUnknown
	}
	if cmd.Bool("json") {
		if err := printJSON(cmd.Root().Writer, failure); err != nil {
			return err
		}
		return cli.Exit("", code)
	}
	return cli.Exit(err.Error(), code)
}

func tableGet(ctx context.Context, cmd *cli.Command, w *tablestore.Writer) error {
	s, err := w.Read(ctx)
	if err != nil {
		return err
	}
	f := table.File{Table: s.Table, Revision: s.Document.Revision()}
	if old := cmd.Uint64("revision"); old > 0 {
		f.Revision = old
		if f.Table, err = s.Document.At(s.Table, old); err != nil {
			return err
		}
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, map[string]any{"revision": f.Revision, "csv": string(table.Encode(f.Table))})
	}
	_, err = cmd.Root().Writer.Write(table.EncodeFile(f))
	return err
}

func tableDiff(ctx context.Context, cmd *cli.Command, w *tablestore.Writer) error {
	f, err := readTable(cmd)
	if err != nil {
		return err
	}
	s, err := w.Read(ctx)
	if err != nil {
		return err
	}
	base, err := s.Document.At(s.Table, f.Revision)
	if err != nil {
		return err
	}
	return printChanges(cmd, tablestore.Result{
		Revision: f.Revision, Changes: table.CellChanges(table.Diff(base, f.Table)),
	}, "")
}

func tablePut(ctx context.Context, cmd *cli.Command, w *tablestore.Writer) error {
	f, err := readTable(cmd)
	if err != nil {
		return err
	}
	if cmd.IsSet("base") {
		f.Revision = cmd.Uint64("base")
	}
	if err := requireBase(ctx, cmd, w, f.Revision); err != nil {
		return err
	}
	result, err := w.Put(ctx, f.Revision, f.Table, cmd.String("note"))
	if err != nil {
		return err
	}
	return printResult(cmd, result)
}

// requireBase rejects a file without a base revision once a table exists: without
// the base, a merge cannot tell rows that the file's author removed from rows that
// others added.
func requireBase(ctx context.Context, cmd *cli.Command, w *tablestore.Writer, base uint64) error {
	if base > 0 || cmd.IsSet("base") {
		return nil
	}
	s, err := w.Read(ctx)
	if err == nil && s.Version > 0 {
		return cli.Exit(fmt.Sprintf("the file does not name the revision that it was made from; "+
			"start from \"table get\" or pass --base (the newest is %d)", s.Document.Revision()), ExitUsage)
	}
	return err
}

func tableHistory(ctx context.Context, cmd *cli.Command, w *tablestore.Writer) error {
	s, err := w.Read(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Root().Writer, s.Document.History)
	}
	for _, r := range s.Document.History {
		changes := table.CellChanges(r.Undo)
		fmt.Fprintf(cmd.Root().Writer, "%d\t%s\t%s\t%d changes\t%s\n", r.Number, r.When.Format(time.RFC3339), r.Who, len(changes), r.Note)
	}
	return nil
}

func tableRollback(ctx context.Context, cmd *cli.Command, w *tablestore.Writer) error {
	revision, err := strconv.ParseUint(cmd.Args().First(), 10, 64)
	if err != nil || revision == 0 || cmd.NArg() != 1 {
		return cli.Exit("name one revision from \"table history\"", ExitUsage)
	}
	result, err := w.Rollback(ctx, revision)
	if err != nil {
		return err
	}
	return printResult(cmd, result)
}

func tableColumns(_ context.Context, cmd *cli.Command) error {
	for _, c := range table.Columns {
		fmt.Fprintf(cmd.Root().Writer, "%s\n   rows: %v\n   meaning: %s\n   allowed: %s\n", c.Name, c.Kinds, c.Doc, c.Allowed)
	}
	return nil
}

// readTable reads and validates the CSV file in the command's argument.
func readTable(cmd *cli.Command) (table.File, error) {
	if cmd.NArg() != 1 {
		return table.File{}, cli.Exit("name one CSV file, or - for standard input", ExitUsage)
	}
	content, err := readFile(cmd.Args().First())
	if err != nil {
		return table.File{}, cli.Exit(err.Error(), ExitUsage)
	}
	return table.Decode(content)
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, table.MaxBytes+1))
	}
	return os.ReadFile(name)
}

func printResult(cmd *cli.Command, r tablestore.Result) error {
	headline := fmt.Sprintf("revision %d written", r.Revision)
	if !r.Written {
		headline = fmt.Sprintf("revision %d already has this content; nothing written", r.Revision)
	}
	return printChanges(cmd, r, headline)
}

func printChanges(cmd *cli.Command, r tablestore.Result, headline string) error {
	w := cmd.Root().Writer
	if cmd.Bool("json") {
		return printJSON(w, r)
	}
	if headline != "" {
		fmt.Fprintln(w, headline)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(w, "%s: %s: %q -> %q\n", c.Row, c.Column, c.Old, c.New)
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
