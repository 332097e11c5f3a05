//! Connections of a host to one backend server.

use fulmargw_pool::table::Share;

const SHARE: Share = Share {
    connections: 12,
    running: 3,
};

/// Guards against connections that fill a server while its former host is without power.
#[test]
fn half_of_the_share_stays_closed_while_slots_are_free() {
    assert!(SHARE.should_keep(6, true));
    assert!(!SHARE.should_keep(7, true));
}

/// Guards against slots of a full server that go into opening connections.
#[test]
fn a_full_server_keeps_its_connections() {
    assert!(SHARE.should_keep(12, false));
}
