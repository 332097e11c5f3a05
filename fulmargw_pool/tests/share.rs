//! Number of connections that a host keeps open to one backend server.

use fulmargw_pool::table::Share;

const SHARE: Share = Share {
    connections: 12,
    running: 3,
};

/// Guards against a host that cannot connect after losing power, because the server still counts
/// the connections that it had before.
#[test]
fn half_of_the_share_stays_unused_while_slots_are_free() {
    assert!(SHARE.should_keep(6, true));
    assert!(!SHARE.should_keep(7, true));
}

/// Guards against using the slots of a busy server to open connections again.
#[test]
fn busy_server_keeps_its_connections() {
    assert!(SHARE.should_keep(12, false));
}
