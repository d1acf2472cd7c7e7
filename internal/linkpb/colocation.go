package linkpb

import (
	"math"
	"slices"

	"github.com/poplarlever/poplarlever/internal/core/colocation"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

const (
	// loadUnits and meanUnits are the units of pb.Colocation: a load takes one byte and a
	// mean number of tasks below 8 takes one.
	loadUnits = 255
	meanUnits = 16
)

// encodeColocation returns nil for an unknown summary, so that it takes no space.
func encodeColocation(s colocation.Summary) *pb.Colocation {
	if !s.Known {
		return nil
	}
	p := &pb.Colocation{Load: uint32(math.Round(s.Load * loadUnits))}
	for _, n := range s.Neighbours {
		p.Types = append(p.Types, uint32(n.Type))
		p.Means = append(p.Means, uint32(math.Round(min(n.Mean, colocation.MaxMean)*meanUnits)))
	}
	return p
}

// decodeColocation marks a summary with values that no agent sends as malformed. The rest of
// the result is not affected.
func decodeColocation(p *pb.Colocation) colocation.Summary {
	if p == nil {
		return colocation.Summary{}
	}
	types, means := p.GetTypes(), p.GetMeans()
	if p.GetLoad() > loadUnits || len(types) != len(means) || len(types) > colocation.MaxNeighbours {
		return colocation.Summary{Malformed: true}
	}
	s := colocation.Summary{Known: true, Load: float64(p.GetLoad()) / loadUnits}
	for i, id := range types {
		if means[i] > colocation.MaxMean*meanUnits || slices.Contains(types[:i], id) {
			return colocation.Summary{Malformed: true}
		}
		s.Neighbours = append(s.Neighbours, colocation.Neighbour{Type: colocation.TypeID(id), Mean: float64(means[i]) / meanUnits})
	}
	return s
}
