package controller

import (
	"github.com/rotisserie/eris"

	"github.com/thorntiller/thorntiller/internal/consensus"
)

var errNoSuccessor = eris.New("no other voter answers")

// changeNames are the names of membership changes in log lines.
var changeNames = map[consensus.ChangeKind]string{
	consensus.AddLearner:     "add_learner",
	consensus.PromoteLearner: "promote_learner",
	consensus.RemoveMember:   "remove_member",
}
