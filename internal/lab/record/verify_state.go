package record

import (
	"cmp"
	"fmt"
	"slices"
)

// Assignment says that Server owns Shard at Epoch. Service is for people.
type Assignment struct {
	Service string `json:"service"`
	Shard   uint64 `json:"shard,string"`
	Epoch   uint64 `json:"epoch,string"`
	Server  string `json:"server"`
	// AtNs is when it was acknowledged or observed.
	AtNs int64 `json:"at_ns"`
	// Source names the process that was asked, for observations.
	Source string `json:"source,omitempty"`
	// Missing is true when the source knew no such shard.
	Missing bool `json:"missing,omitempty"`
}

// AssignmentHistory compares acknowledged assignments with what was observed
// later, by reads that claim to be current.
type AssignmentHistory struct {
	Acknowledged []Assignment
	Observed     []Assignment
}

// checkAssignments counts the acknowledged assignments that a later read lacks:
// the shard is missing, at a lower epoch, or at the same epoch elsewhere; or
// that no later read covers at all.
func (c *checker) checkAssignments() {
	for _, acknowledged := range c.inputs.Assignments.Acknowledged {
		if detail := lostDetail(acknowledged, c.inputs.Assignments.Observed); detail != "" {
			c.violate(Violation{
				Count:   CountLostAssignments,
				Service: acknowledged.Service,
				Server:  acknowledged.Server,
				AtNs:    acknowledged.AtNs,
				Detail:  fmt.Sprintf("shard %d epoch %d: %s", acknowledged.Shard, acknowledged.Epoch, detail),
			})
		}
	}
}

func lostDetail(acknowledged Assignment, observations []Assignment) string {
	covered := false
	for _, observed := range observations {
		if observed.Shard != acknowledged.Shard || observed.AtNs < acknowledged.AtNs {
			continue
		}
		covered = true
		switch {
		case observed.Missing:
			return "missing at " + observed.Source
		case observed.Epoch < acknowledged.Epoch:
			return fmt.Sprintf("epoch %d at %s", observed.Epoch, observed.Source)
		case observed.Epoch == acknowledged.Epoch && observed.Server != acknowledged.Server:
			return "owned by " + observed.Server + " at " + observed.Source
		}
	}
	if !covered {
		return "no later read covers it"
	}
	return ""
}

// Revision says that the content with Digest is in force, at a revision, for
// the object with Name. An accepted revision may lack its digest.
type Revision struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	AtNs     int64  `json:"at_ns"`
	// Source names the process that was asked, for observations.
	Source string `json:"source,omitempty"`
}

// RevisionHistory compares accepted configuration with what processes that
// serve requests had in force.
type RevisionHistory struct {
	Accepted []Revision
	Observed []Revision
}

// checkRevisions finds sources that went back to an earlier revision, lacked an
// accepted one after the force limit, or had other content at its revision; and
// accepted revisions that no source was asked about in time. Two reads of one
// revision must show the same content.
func (c *checker) checkRevisions() {
	observed := slices.Clone(c.inputs.Revisions.Observed)
	slices.SortStableFunc(observed, func(a, b Revision) int { return cmp.Compare(a.AtNs, b.AtNs) })
	highest := make(map[Revision]uint64)
	digests := make(map[Revision]string)
	for _, seen := range observed {
		source := Revision{Name: seen.Name, Source: seen.Source}
		if detail := c.revertedDetail(seen, highest[source]); detail != "" {
			c.violate(Violation{Count: CountConfigReverted, Server: seen.Source, AtNs: seen.AtNs, Detail: seen.Name + ": " + detail})
		}
		highest[source] = max(highest[source], seen.Revision)
		content := Revision{Name: seen.Name, Revision: seen.Revision}
		if earlier, found := digests[content]; found && earlier != seen.Digest {
			c.violate(Violation{Count: CountConfigReverted, Server: seen.Source, AtNs: seen.AtNs,
				Detail: fmt.Sprintf("%s: revision %d has digest %s, an earlier read showed %s", seen.Name, seen.Revision, seen.Digest, earlier)})
		}
		digests[content] = seen.Digest
	}
	c.checkRevisionsCovered(observed)
}

func (c *checker) revertedDetail(seen Revision, highest uint64) string {
	if seen.Revision < highest {
		return fmt.Sprintf("revision %d after %d", seen.Revision, highest)
	}
	for _, accepted := range c.inputs.Revisions.Accepted {
		due := accepted.AtNs + c.inputs.ForceLimit.Nanoseconds()
		switch {
		case accepted.Name != seen.Name:
		case seen.Revision == accepted.Revision && accepted.Digest != "" && seen.Digest != accepted.Digest:
			return fmt.Sprintf("revision %d has digest %s, accepted was %s", seen.Revision, seen.Digest, accepted.Digest)
		case seen.Revision < accepted.Revision && seen.AtNs > due:
			return fmt.Sprintf("revision %d is in force long after %d was accepted", seen.Revision, accepted.Revision)
		}
	}
	return ""
}

func (c *checker) checkRevisionsCovered(observed []Revision) {
	for _, accepted := range c.inputs.Revisions.Accepted {
		covered := slices.ContainsFunc(observed, func(seen Revision) bool {
			return seen.Name == accepted.Name && seen.AtNs >= accepted.AtNs && seen.Revision >= accepted.Revision
		})
		if !covered {
			c.violate(Violation{Count: CountConfigReverted, AtNs: accepted.AtNs,
				Detail: fmt.Sprintf("%s: no later read shows revision %d", accepted.Name, accepted.Revision)})
		}
	}
}
