//! The names that first lines and endpoint lists refer to, with their indices in the settings.

use std::collections::HashMap;

/// Indices by name.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Request classes.
    pub classes: HashMap<String, usize>,
    /// Tenants; empty if none are configured.
    pub tenants: HashMap<String, usize>,
    /// Zones.
    pub zones: HashMap<String, u32>,
}
