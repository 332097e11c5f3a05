//! Home regions: the regions whose backend servers may run a statement.

use fulmargw_model::name::Name;

/// Returns the regions in which a statement may run, given those of its route and of its client
/// account; an empty list allows all. `None` if no restriction applies.
#[must_use]
pub fn common(route: &[Name], account: &[Name]) -> Option<Vec<Name>> {
    match (route.is_empty(), account.is_empty()) {
        (true, true) => None,
        (false, true) => Some(route.to_vec()),
        (true, false) => Some(account.to_vec()),
        (false, false) => {
            let both = route.iter().filter(|region| account.contains(region));
            Some(both.cloned().collect())
        }
    }
}

/// Reports whether a server in `region` may run a statement. A server whose region is unknown may
/// run only statements without a restriction.
#[must_use]
pub fn allows(homes: Option<&[Name]>, region: Option<&Name>) -> bool {
    homes.is_none_or(|homes| region.is_some_and(|region| homes.contains(region)))
}
