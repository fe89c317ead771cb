//! Names to which first lines and endpoint lists refer, with their indices in the settings.

use std::collections::HashMap;

/// Indices of the configured names.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Indices of the request classes.
    pub classes: HashMap<String, usize>,
    /// Indices of the tenants; empty if none are configured.
    pub tenants: HashMap<String, usize>,
    /// Indices of the zones.
    pub zones: HashMap<String, u32>,
}
