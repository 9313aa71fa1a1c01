// Package control computes the manifest revision in force and the newest weight
// versions from the records of the log's control stream. It does no I/O and
// reads no clock, so readers that have applied records up to the same offset
// agree.
//
// # Commits
//
// A commit names its parent, the revision that its operator read. The first
// record in offset order whose parent is the revision in force, whose number
// is parent+1 and whose signature is valid is accepted; every reader rejects
// every other one for the same reason. This is optimistic concurrency control:
// the version read is validated at commit, as in Aguilera and Golab, "A
// Practical Scalable Distributed B-tree", HPL-2007-193, §5. The log's order
// replaces that paper's two-phase commit, as one record contains the whole
// transaction.
//
// A commit with the number, parent and hash of the revision in force is a copy
// of it and refreshes only its position in the log. Acceptance does not depend
// on whether this program can read the manifest: otherwise, during an upgrade,
// two releases could continue from different revisions. A manifest that this
// program can't read is reported (Unreadable), and the last revision that it
// could read stays in force.
//
// All readers must have the same public keys. A new key must be distributed to
// every process before it is used to sign; a reader without it rejects what
// others accept.
//
// # Record ids
//
// The process that waits for the outcome of a record finds it by id. The
// outcome is reported once: a second record with the same id (an append that
// the platform repeated) gives no outcome event. Apart from that the state does
// not depend on ids. A copy of a commit can't be accepted twice, as its parent
// is no longer in force, and versions only rise; so readers agree even though
// old ids are dropped to bound the memory.
//
// # Truncation
//
// The log keeps records for a limited time, and its offsets have no holes. A
// reader that starts after offset 0 was truncated, or that falls behind the
// first offset kept, sees a jump in the offsets. It then has a gap: it does not
// know the revision in force at the first record that it reads, and so can't
// distinguish a commit that won its race from one that lost. Taking the highest
// signed revision would be wrong: the loser of a race is signed too, and the
// winner may be in the gap. So after a gap commits are held, and only the
// following evidence decides them:
//
//   - A reappend record, which a process writes before half of the retention
//     time has passed. It states that its writer, having applied all records
//     before offset NextOffset, holds this revision, accepted at offset
//     Accepted, and these versions.
//   - A peer's revision (Offer), with the offset that accepted it: at the next
//     offset it was in force.
//
// Either puts the revision in force at once if it is higher than the one that
// the reader holds (accepted revisions form a single history, so the revision
// in force never goes back). If the reader knows every record from the
// evidence's offset on, the evidence also ends the gap: held commits from that
// offset on are evaluated like any others, and from then on the reader agrees
// with one that has read everything.
//
// A reappend of a lower or equal revision changes nothing for a reader without
// a gap. A reappend of a higher revision means that the log lost records, and
// every reader takes it over. Reappends and offers are believed because
// processes and the log service are trusted to be truthful; the revisions that
// they contain are still verified by signature.
package control
