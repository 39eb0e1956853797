package hornbeamcroft

// Keys in the store. All begin with the same prefix, so that the store can be shared with other uses.
const (
	// KeyDocument holds the StoredDocument.
	KeyDocument = "hornbeamcroft/document"
	// KeyHistoryPrefix is followed by a revision of the document, as 20 digits.
	KeyHistoryPrefix = "hornbeamcroft/history/"
	// KeyZonePrefix is followed by the name of an availability zone and holds its roster.
	KeyZonePrefix = "hornbeamcroft/zones/"
	// KeyEpochPrefix is followed by the name of a service and holds its roster epoch.
	KeyEpochPrefix = "hornbeamcroft/epochs/"
	// KeyLeasePrefix is followed by the name of an availability zone and is held by the writer of its roster.
	KeyLeasePrefix = "hornbeamcroft/leases/"
)
