package entryd

import "context"

// serveAttached serves the adapters' servers until they are shut down.
func (d *Daemon) serveAttached(failed chan<- error) {
	for _, s := range d.attached {
		go func() {
			if err := s.Serve(); err != nil {
				failed <- err
			}
		}()
	}
}

// closeAttached waits until the adapters' requests have their answers.
func (d *Daemon) closeAttached() error {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	var first error
	for _, s := range d.attached {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
