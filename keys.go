package hornbeamcroft

// Keys in the store. All have the prefix "hornbeamcroft/", so that the store can be shared with other applications.
const (
	// KeyDocument is the key of the StoredDocument.
	KeyDocument = "hornbeamcroft/document"
	// KeyHistoryPrefix precedes a revision of the document, as 20 digits. The key holds the document at that revision.
	KeyHistoryPrefix = "hornbeamcroft/history/"
	// KeyZonePrefix precedes the name of an availability zone. The key holds the zone's roster.
	KeyZonePrefix = "hornbeamcroft/zones/"
	// KeyEpochPrefix precedes the name of a service. The key holds the service's roster epoch.
	KeyEpochPrefix = "hornbeamcroft/epochs/"
	// KeyLeasePrefix precedes the name of an availability zone. The node that writes the zone's roster holds the key.
	KeyLeasePrefix = "hornbeamcroft/leases/"
)
