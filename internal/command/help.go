package command

const rootDescription = `Exit codes: 0 done, 1 failed, 2 bad settings or usage, 3 refused (did not run),
4 unknown (may have run).

Examples:
  poplarlever dev --submit examples/atlas-job.json
  poplarlever entry --settings /etc/poplarlever/entry.toml
  poplarlever status --entry 127.0.0.1:7000`

const entryDescription = `Settings come from the file; flags override it; defaults apply to the rest. An
invalid setting ends the process with exit code 2 and a one-line message.
SIGINT or SIGTERM stops gracefully.

Examples:
  poplarlever settings defaults entry > entry.toml
  poplarlever entry --settings entry.toml
  poplarlever entry --name entry-1 --listen 127.0.0.1:7000`

const agentDescription = `Settings come from the file; flags override it; defaults apply to the rest. An
invalid setting ends the process with exit code 2 and a one-line message.
SIGINT or SIGTERM stops gracefully.

Examples:
  poplarlever settings defaults agent > agent.toml
  poplarlever agent --settings agent.toml
  poplarlever agent --worker worker-1 --listen 127.0.0.1:7100 --entry 127.0.0.1:7000`

const devDescription = `Runs three entries and eleven workers for each of the services route-desk and
order-desk, with stand-in endpoints that echo each payload. Ctrl-C stops it.
With --submit the answer is printed and the exit code is that of the job.

Examples:
  poplarlever dev
  poplarlever dev --submit examples/atlas-job.json
  poplarlever dev --task-time 5ms --submit examples/hamasaki-quote.json`

const statusDescription = `Queries each entry and prints one summary. The exit code is 1 when an entry
does not answer; the others are still shown.

Examples:
  poplarlever status --entry 127.0.0.1:7000 --entry 127.0.0.1:7001
  poplarlever status --watch
  poplarlever status --ca ca.pem --entry 10.1.0.5:7000
  poplarlever status --json`

const explainDescription = `Shows whether each entry would admit the job now, and why its first task would
start at one worker and not at the others. Nothing is sent to workers. The job is
a file as for submit, or flags; flags override the file. Exit codes: 0 would
start now, 1 would wait, 2 wrong usage, 3 would be refused, 4 an entry did not
answer; of several entries the largest.

Examples:
  poplarlever explain --entry 127.0.0.1:7000 examples/atlas-job.json
  poplarlever explain --service route-desk --job-type pricing --account atlas --tasks 8 --cores 4 --run-time 50ms
  poplarlever explain --host routes.atlas.example --path /price --json`

const submitDescription = `Sends each job and prints its answer. Exit codes: 0 complete, 1 failed, 2 wrong
usage, 3 refused (did not run), 4 unknown (may have run). Ctrl-C cancels tasks
that have not started; a second one aborts the wait.

Examples:
  poplarlever submit examples/atlas-job.json
  poplarlever submit --entry 127.0.0.1:7000 --entry 127.0.0.1:7001 --key examples/atlas-settlement.json
  POPLARLEVER_TOKEN=secret poplarlever submit --json examples/hamasaki-job.json`

const evacuateDescription = `Entries and agents with the setting "evacuations" start no task in an evacuated
failure domain; those that run there end as usual. Both begin and end may be
repeated. "poplarlever status" shows what is in force at the entries.

Exit codes: 0 done, 1 failed and nothing written, 2 wrong usage, 4 unknown
whether it was written.

Examples:
  poplarlever evacuate list
  poplarlever evacuate begin casa-ain
  poplarlever evacuate end casa-ain`
