package linkpb

import (
	"github.com/poplarlever/poplarlever/internal/core/evacuation"
	pb "github.com/poplarlever/poplarlever/proto/poplarlever/v1"
)

// EncodeEvacuations returns the protobuf form of a report.
func EncodeEvacuations(r evacuation.Report) *pb.Evacuations {
	out := &pb.Evacuations{ListedAt: r.ListedAt}
	for _, d := range r.Domains {
		out.Domains = append(out.Domains, &pb.DomainEvacuation{Domain: d.Name, Evacuated: d.Evacuated, Version: d.Version})
	}
	return out
}

// DecodeEvacuations returns the report, which may hold values that no store can have; Merge
// rejects them one by one. It is empty for nil.
func DecodeEvacuations(p *pb.Evacuations) evacuation.Report {
	r := evacuation.Report{ListedAt: p.GetListedAt()}
	for _, d := range p.GetDomains() {
		r.Domains = append(r.Domains, evacuation.Domain{Name: d.GetDomain(), Evacuated: d.GetEvacuated(), Version: d.GetVersion()})
	}
	return r
}
