package command

import (
	"github.com/urfave/cli/v3"

	"github.com/poplarlever/poplarlever/internal/settings"
	"github.com/poplarlever/poplarlever/platform"
)

// contractsFlag names the contracts of the users' platform that are in force. They switch on
// the features that they call for, unless the settings say otherwise.
func contractsFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform-contracts", Usage: "`LIST` of the users' platform's contracts in force, separated by commas"}
}

// applyContracts switches on what the contracts call for and the settings leave open.
func applyContracts(cmd *cli.Command, source settings.Source, enable func(platform.Features) map[string]*bool) {
	for key, value := range enable(platform.FeaturesOf(cmd.String("platform-contracts"))) {
		if !source.Sets(key) {
			*value = true
		}
	}
}

func entryFeatures(s *settings.Entry) func(platform.Features) map[string]*bool {
	return func(f platform.Features) map[string]*bool {
		enabled := make(map[string]*bool)
		if f.Evacuations {
			enabled["evacuations"] = &s.Evacuations
		}
		if f.WorkerHealth {
			enabled["placement.learn_speeds"] = &s.Placement.LearnSpeeds
			enabled["admission.shed_by_job_type"] = &s.Admission.ShedByJobType
		}
		return enabled
	}
}

func agentFeatures(s *settings.Agent) func(platform.Features) map[string]*bool {
	return func(f platform.Features) map[string]*bool {
		enabled := make(map[string]*bool)
		if f.Evacuations {
			enabled["evacuations"] = &s.Evacuations
		}
		if f.WorkerHealth {
			enabled["detect_stalls"] = &s.DetectStalls
		}
		return enabled
	}
}
