package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	fakestore "github.com/poplarlever/poplarlever/internal/fake/store"
)

func fakeStoreCommand() *cli.Command {
	return &cli.Command{
		Name:   "fake-store",
		Usage:  "run a stand-in for the platform's store",
		Hidden: true,
		Description: "Faults are injected over HTTP on the same address:\n\n" +
			"   curl localhost:7300/control/faults\n" +
			"   curl -X PUT -d '{\"down\":true}' localhost:7300/control/faults\n" +
			"   curl -X PUT -d '{\"lose_answers\":1}' localhost:7300/control/faults\n" +
			"   curl -X PUT -d '{\"delay_ns\":500000000,\"miss_events\":true,\"old_data\":true}' localhost:7300/control/faults\n" +
			"   curl -X POST localhost:7300/control/lapse-leases\n" +
			"   curl localhost:7300/control/counts",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300", Usage: "`ADDRESS` for calls and for the control page"},
			&cli.IntFlag{Name: "writes", Value: fakestore.DefaultRates.Writes, Usage: "largest number of writes per second"},
			&cli.IntFlag{Name: "reads", Value: fakestore.DefaultRates.Reads, Usage: "largest number of reads per second, including waiting watches"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := untilSignal(ctx)
			defer stop()
			rates := fakestore.Rates{Writes: cmd.Int("writes"), Reads: cmd.Int("reads")}
			s, err := fakestore.Listen(cmd.String("listen"), rates)
			if err != nil {
				return cli.Exit(err.Error(), ExitUsage)
			}
			fmt.Fprintln(cmd.Writer, "store:", s.Address())
			return s.Run(ctx)
		},
	}
}
