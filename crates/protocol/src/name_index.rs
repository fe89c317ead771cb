//! What first lines and lists name, and at which place the settings have it.

use std::collections::HashMap;

/// Places by name.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Classes.
    pub classes: HashMap<String, usize>,
    /// Tenants; empty where there are none.
    pub tenants: HashMap<String, usize>,
    /// Zones.
    pub zones: HashMap<String, u32>,
}
