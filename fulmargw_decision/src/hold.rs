//! Bound on the connections to a server that the open transactions of one client account hold.

/// The connections of this host to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    /// Maximum number of connections.
    pub limit: u32,
    /// Number of connections that are open or being opened.
    pub open: u32,
    /// Number of them that open transactions of the account hold.
    pub held: u32,
}

/// Returns the number of connections that one account may hold while others wait for one: a part
/// of the limit, at least one.
#[must_use]
pub fn bound(limit: u32, part: f64) -> u32 {
    let part = part.clamp(0.0, 1.0);
    let within = (1..=limit).rev();
    let mut within = within.filter(|count| f64::from(*count) <= f64::from(limit) * part);
    within.next().unwrap_or(1)
}

/// Reports whether an account may begin a transaction on a server, which holds a connection until
/// it ends. `others_wait` tells whether a statement of another account waits.
#[must_use]
pub fn may_begin(connections: Connections, part: f64, others_wait: bool) -> bool {
    let Connections { limit, open, held } = connections;
    let is_scarce = open >= limit;
    !(is_scarce && others_wait) || held < bound(limit, part)
}
