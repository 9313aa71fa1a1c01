package fleet

import (
	"dandelionsill.org/base/outbound"
	"dandelionsill.org/wire/pb"
)

// CheckHead returns an error if the head that an agent sent can't be that of a backend server's final answer. An
// agent of an earlier release passes on what its server sends.
func CheckHead(head *pb.CallHead) error {
	if err := outbound.CheckFinalStatus(int(head.Status)); err != nil {
		return err
	}
	for _, h := range head.Headers {
		if err := outbound.CheckField(h.Name, h.Value); err != nil {
			return err
		}
	}
	return nil
}
