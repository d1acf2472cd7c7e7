package command

import (
	"context"

	"github.com/poplarlever/poplarlever/internal/core/table"
	"github.com/poplarlever/poplarlever/internal/store"
	"github.com/poplarlever/poplarlever/internal/tablestore"
)

// devTable is the built-in table. It has the services, jobs and client accounts of
// the two current users.
const devTable = `kind,name,service,weight,max_running,max_queued,tasks_per_second,max_tasks,max_payload_bytes,default_deadline,token_sha256
service,order-desk,,,,,,,,,
service,route-desk,,,,,,,,,
job,confirmed-order,order-desk,,,,,1000,,,
job,quote,order-desk,,,,,1000,,,
job,stock-check,order-desk,,,,,1000,,,
job,offers,route-desk,,,,,1000,,,
job,pricing,route-desk,,,,,1000,,,
job,settlement,route-desk,,,,,1000,,,
account,atlas,,1,,,,,,,
account,hamasaki,,1,,,,,,,
`

// writeDevTable writes devTable to the store as its first revision.
func writeDevTable(ctx context.Context, address string) error {
	f, err := table.Decode([]byte(devTable))
	if err != nil {
		return err
	}
	w := &tablestore.Writer{Store: store.NewClient(address), Who: "dev"}
	_, err = w.Put(ctx, 0, f.Table, "default table")
	return err
}
