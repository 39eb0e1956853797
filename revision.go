package hornbeamcroft

// eraShift is the position of the era in a revision.
const eraShift = 48

// NewRevision returns the revision with the given number, below 2^48, in an era of the store. The era, below 2^15, rises each
// time that the store comes back from an older copy, so that revisions rise although their numbers go back. Number zero,
// which means "none", gives zero in all eras.
func NewRevision(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era<<eraShift | number
}

// RevisionEra returns the era of the revision; zero if it is not known.
func RevisionEra(revision int64) int64 { return revision >> eraShift }

// RevisionNumber returns the number that the store gave the revision in its era.
func RevisionNumber(revision int64) int64 { return revision & (1<<eraShift - 1) }
