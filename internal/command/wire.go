//go:build wireinject

package command

import (
	"github.com/google/wire"
	"go.uber.org/zap"

	"github.com/poplarlever/poplarlever/internal/core/agent"
	"github.com/poplarlever/poplarlever/internal/core/entry"
	"github.com/poplarlever/poplarlever/internal/entryd"
	"github.com/poplarlever/poplarlever/internal/settings"
)

// entrySet builds an entry from its settings.
var entrySet = wire.NewSet(
	newIncarnation, entryTLS, entryServer, entryConfig, entry.New, entryMetrics, entryDaemon,
)

// agentSet builds an agent from its settings.
var agentSet = wire.NewSet(
	newIncarnation, newEpoch, agentTLS, agentServer, agentConfig, agent.New, agentMetrics, agentDaemon,
	wire.Struct(new(agentWithServer), "*"),
)

// buildEntry opens the entry's listen address and returns an entry that is ready
// to run.
func buildEntry(s settings.Entry, log *zap.Logger) (*entryd.Daemon, error) {
	panic(wire.Build(entrySet))
}

// buildAgent opens the agent's listen address and returns an agent that is ready
// to run.
func buildAgent(s settings.Agent, log *zap.Logger) (*agentWithServer, error) {
	panic(wire.Build(agentSet))
}
