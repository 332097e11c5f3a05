//! Changes of the fleet record and the shares that follow from it.
