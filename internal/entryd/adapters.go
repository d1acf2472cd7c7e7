package entryd

import "context"

// serveAdapters serves the adapters' servers until they are shut down.
func (d *Daemon) serveAdapters(failed chan<- error) {
	for _, s := range d.adapterServers {
		go func() {
			if err := s.Serve(); err != nil {
				failed <- err
			}
		}()
	}
}

// shutdownAdapters waits until the adapters' requests have their answers.
func (d *Daemon) shutdownAdapters() error {
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	var first error
	for _, s := range d.adapterServers {
		if err := s.Shutdown(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}
