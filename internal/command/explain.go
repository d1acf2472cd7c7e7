package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/settings"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "show where a job would be placed now and why, without sending it",
		ArgsUsage:   "[FILE]",
		Description: explainDescription,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Value: []string{settings.DefaultEntryListen}, Usage: "`ADDRESS` of an entry; may be repeated"},
			caFlag(),
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "job-type", Usage: "`NAME` of the job type"},
			&cli.StringFlag{Name: "account", Usage: "`NAME` of the client account"},
			&cli.StringFlag{Name: "host", Usage: "host of a request; its route in the table names service and job type"},
			&cli.StringFlag{Name: "path", Usage: "path of that request"},
			&cli.IntFlag{Name: "tasks", Value: 1, Usage: "number of tasks"},
			&cli.FloatFlag{Name: "cores", Usage: "declared cores of each task"},
			&cli.Uint64Flag{Name: "memory", Usage: "declared memory of each task, in bytes"},
			&cli.Uint32Flag{Name: "accelerators", Usage: "declared accelerators of each task"},
			&cli.DurationFlag{Name: "run-time", Usage: "declared run time of each task"},
			&cli.DurationFlag{Name: "timeout", Usage: "time until the deadline"},
		},
		Action: runExplain,
	}
}

// maxExplainTasks is the largest number of tasks that the flags can describe. Entries refuse
// larger jobs.
const maxExplainTasks = 1001

// explainRequest builds the request from the file and the flags.
func explainRequest(cmd *cli.Command) (*pb.ExplainRequest, error) {
	job := &pb.SubmitRequest{}
	switch cmd.Args().Len() {
	case 0:
	case 1:
		var err error
		if job, err = readJob(cmd.Args().First()); err != nil {
			return nil, err
		}
	default:
		return nil, cli.Exit("explain takes one file", ExitUsage)
	}
	for name, value := range map[string]*string{"service": &job.Service, "job-type": &job.JobType, "account": &job.Account} {
		if cmd.IsSet(name) {
			*value = cmd.String(name)
		}
	}
	if cmd.IsSet("timeout") {
		job.Timeout = durationpb.New(cmd.Duration("timeout"))
	}
	if len(job.GetTasks()) == 0 || cmd.IsSet("tasks") {
		n := cmd.Int("tasks")
		if n < 0 || n > maxExplainTasks {
			return nil, cli.Exit(fmt.Sprintf("--tasks is %d, allowed is 0 to %d", n, maxExplainTasks), ExitUsage)
		}
		job.Tasks = make([]*pb.Task, n)
		for i := range job.Tasks {
			job.Tasks[i] = &pb.Task{}
		}
	}
	for _, t := range job.GetTasks() {
		applyTaskFlags(cmd, t)
	}
	return &pb.ExplainRequest{Job: job, Host: cmd.String("host"), Path: cmd.String("path")}, nil
}

func applyTaskFlags(cmd *cli.Command, t *pb.Task) {
	if cmd.IsSet("run-time") {
		t.DeclaredRunTime = durationpb.New(cmd.Duration("run-time"))
	}
	if !cmd.IsSet("cores") && !cmd.IsSet("memory") && !cmd.IsSet("accelerators") {
		return
	}
	if t.DeclaredSize == nil {
		t.DeclaredSize = &pb.Size{}
	}
	if cmd.IsSet("cores") {
		t.DeclaredSize.Cores = cmd.Float("cores")
	}
	if cmd.IsSet("memory") {
		t.DeclaredSize.MemoryBytes = cmd.Uint64("memory")
	}
	if cmd.IsSet("accelerators") {
		t.DeclaredSize.Accelerators = cmd.Uint32("accelerators")
	}
}

// explained is the explanation of one entry, or the error of the call.
type explained struct {
	address  string
	response *pb.ExplainResponse
	err      error
}

func runExplain(ctx context.Context, cmd *cli.Command) error {
	request, err := explainRequest(cmd)
	if err != nil {
		return err
	}
	tlsConfig, err := clientTLS(cmd)
	if err != nil {
		return err
	}
	client := httpserver.NewTLSClient(tlsConfig.Client)
	defer client.CloseIdleConnections()
	all := make([]explained, len(cmd.StringSlice("entry")))
	var group sync.WaitGroup
	for i, address := range cmd.StringSlice("entry") {
		group.Go(func() { all[i] = explainAt(ctx, client, tlsConfig.Scheme(), address, request) })
	}
	group.Wait()
	render := printExplanations
	if cmd.Bool("json") {
		render = printExplanationsJSON
	}
	if err := render(cmd.Root().Writer, all); err != nil {
		return err
	}
	return explainedError(all)
}

func explainAt(ctx context.Context, client *http.Client, scheme, address string, request *pb.ExplainRequest) explained {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	operator := poplarleverv1connect.NewOperatorClient(client, scheme+"://"+address)
	resp, err := operator.Explain(ctx, connect.NewRequest(request))
	if err != nil {
		return explained{address: address, err: err}
	}
	return explained{address: address, response: resp.Msg}
}

// explainedError returns nil if the job would start at each entry, and otherwise an error
// with the largest exit code.
func explainedError(all []explained) error {
	code := ExitDone
	text := ""
	for _, e := range all {
		switch {
		case e.err != nil:
			code, text = ExitUnknown, fmt.Sprintf("entry %s: %v", e.address, e.err)
		case e.response.GetDecision() == pb.ExplainDecision_EXPLAIN_DECISION_REFUSE:
			code = max(code, ExitRefused)
		case e.response.GetDecision() == pb.ExplainDecision_EXPLAIN_DECISION_WAIT:
			code = max(code, ExitFailed)
		}
	}
	if code == ExitDone {
		return nil
	}
	return cli.Exit(text, code)
}

// printExplanationsJSON prints one object with an element for each entry.
func printExplanationsJSON(w io.Writer, all []explained) error {
	type element struct {
		Address     string          `json:"address"`
		Error       string          `json:"error,omitempty"`
		Explanation json.RawMessage `json:"explanation,omitempty"`
	}
	var out struct {
		Entries []element `json:"entries"`
	}
	for _, e := range all {
		el := element{Address: e.address}
		if e.err != nil {
			el.Error = e.err.Error()
		} else {
			text, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(e.response)
			if err != nil {
				return err
			}
			el.Explanation = text
		}
		out.Entries = append(out.Entries, el)
	}
	return json.NewEncoder(w).Encode(out)
}

// printExplanations prints a paragraph and a table of workers for each entry.
func printExplanations(w io.Writer, all []explained) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, e := range all {
		if i > 0 {
			fmt.Fprintln(tab)
		}
		if e.err != nil {
			fmt.Fprintf(tab, "%s: no answer: %v\n", e.address, e.err)
			continue
		}
		printExplanation(tab, e.response)
	}
	return tab.Flush()
}

func printExplanation(w io.Writer, r *pb.ExplainResponse) {
	fmt.Fprintf(w, "%s: service %q, job type %q, priority %d, table revision %d\n", r.GetEntry(), r.GetService(), r.GetJobType(), r.GetPriority(), r.GetRevision())
	if route := r.GetRoute(); route != nil {
		fmt.Fprintf(w, "route: host %q, path prefix %q\n", route.GetHost(), route.GetPathPrefix())
	}
	switch r.GetDecision() {
	case pb.ExplainDecision_EXPLAIN_DECISION_REFUSE:
		f := r.GetRefusal()
		fmt.Fprintf(w, "would be refused: %s (%s)", f.GetReason(), f.GetMessage())
		if longest := r.GetLongestRetryAfter().AsDuration(); longest > 0 {
			fmt.Fprintf(w, ", Retry-After %s to %s", f.GetRetryAfter().AsDuration().Round(time.Millisecond), longest.Round(time.Millisecond))
		}
		fmt.Fprintln(w)
	case pb.ExplainDecision_EXPLAIN_DECISION_WAIT:
		fmt.Fprintf(w, "would be admitted and wait: %s\n", r.GetRule())
	default:
		fmt.Fprintf(w, "would start now at %s\n", r.GetWorker())
	}
	if len(r.GetWorkers()) == 0 {
		return
	}
	fmt.Fprintln(w, "WORKER\tDOMAIN\tRULE\tSCORE\tROOM\tAFFINITY\tSLOWDOWN\tREMOTE\tFAILING\tCELL\tEXPECTED END\tSEPARATION")
	for _, k := range r.GetWorkers() {
		rule := k.GetRule()
		if rule == "" {
			rule = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%+.3f\t%+.3f\t%+.3f\t%+.3f\t%+.3f\t%+.3f\t%+.3f\n", k.GetName(), k.GetFailureDomain(), rule, k.GetScore(), k.GetRoom(),
			k.GetAffinity(), 0-k.GetSlowdown(), 0-k.GetRemote(), 0-k.GetFailing(), 0-k.GetCell(), 0-k.GetExpectedEnd(), 0-k.GetSeparation())
	}
}
