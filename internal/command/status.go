package command

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/httpserver"
	"github.com/poplarlever/poplarlever/internal/settings"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
	"github.com/poplarlever/poplarlever/proto/poplarlever/v1/poplarleverv1connect"
)

const (
	// statusTimeout bounds the status call to one entry.
	statusTimeout = 2 * time.Second
	// watchInterval is the pause between two reports of --watch.
	watchInterval = time.Second
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show entries, workers, queues, shares and revisions",
		Description: statusDescription,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Value: []string{settings.DefaultEntryListen}, Usage: "`ADDRESS` of an entry; may be repeated"},
			caFlag(),
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.BoolFlag{Name: "watch", Usage: "repeat each second until interrupted"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := untilSignal(ctx)
			defer stop()
			err := showStatus(ctx, cmd)
			for cmd.Bool("watch") {
				select {
				case <-time.After(watchInterval):
					err = showStatus(ctx, cmd)
				case <-ctx.Done():
					return nil
				}
			}
			return err
		},
	}
}

// entryReport is the status of one entry, or the error of the call.
type entryReport struct {
	address string
	status  *pb.StatusResponse
	err     error
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	tlsConfig, err := clientTLS(cmd)
	if err != nil {
		return err
	}
	client := httpserver.NewTLSClient(tlsConfig.Client)
	defer client.CloseIdleConnections()
	reports := queryEntries(ctx, client, tlsConfig.Scheme(), cmd.StringSlice("entry"))
	render := printStatus
	if cmd.Bool("json") {
		render = printStatusJSON
	}
	if err := render(cmd.Root().Writer, reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.err != nil {
			return cli.Exit(fmt.Sprintf("entry %s: %v", r.address, r.err), ExitFailed)
		}
	}
	return nil
}

// queryEntries requests the status of all entries concurrently. Reports are in the
// order of the addresses.
func queryEntries(ctx context.Context, client *http.Client, scheme string, addresses []string) []entryReport {
	reports := make([]entryReport, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() { reports[i] = queryEntry(ctx, client, scheme, address) })
	}
	group.Wait()
	return reports
}

func queryEntry(ctx context.Context, client *http.Client, scheme, address string) entryReport {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	operator := poplarleverv1connect.NewOperatorClient(client, scheme+"://"+address)
	resp, err := operator.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return entryReport{address: address, err: err}
	}
	return entryReport{address: address, status: resp.Msg}
}
