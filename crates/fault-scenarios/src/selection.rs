//! Selections of balancers or nodes of a day.

use std::collections::BTreeSet;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use crate::error::ScenarioError;

/// A selection of balancers or nodes: those to which all given keys apply; all of them if no key is given.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Selection {
    /// Only those with these indices.
    #[serde(rename = "on")]
    pub indices: Option<Vec<u32>>,
    /// Only those in the zone of this name.
    pub zone: Option<String>,
    /// Of these, only a random fraction, rounded to at least one.
    #[serde(rename = "part")]
    pub fraction: Option<f64>,
}

impl Selection {
    /// The indices of the selected balancers or nodes in ascending order. `zone_names` are the names of the day's zones,
    /// `member_zones` has the zone of each balancer or node, and `key` names the selection in errors.
    pub(crate) fn select(
        &self,
        key: &str,
        zone_names: &[String],
        member_zones: &[u32],
        rng: &mut Pcg64Mcg,
    ) -> Result<Vec<u32>, ScenarioError> {
        let zone = self.zone_index(key, zone_names)?;
        let indices = self.checked_indices(key, member_zones.len())?;
        let is_selected = |index: &u32| {
            zone.is_none_or(|zone| member_zones[*index as usize] == zone)
                && indices.as_ref().is_none_or(|indices| indices.contains(index))
        };
        let mut selected: Vec<u32> = (0..member_zones.len() as u32).filter(is_selected).collect();
        if let Some(fraction) = self.fraction {
            if !(0.0..=1.0).contains(&fraction) {
                let cause = format!("must be from 0 to 1, but is {fraction}");
                return Err(ScenarioError::invalid(format!("{key}.part"), cause));
            }
            selected.shuffle(rng);
            selected.truncate(((fraction * selected.len() as f64).round() as usize).max(1));
            selected.sort_unstable();
        }
        Ok(selected)
    }

    fn zone_index(&self, key: &str, zone_names: &[String]) -> Result<Option<u32>, ScenarioError> {
        let Some(name) = &self.zone else { return Ok(None) };
        let Some(index) = zone_names.iter().position(|zone| zone == name) else {
            let cause = format!("the day has no zone {name}; its zones are {}", zone_names.join(", "));
            return Err(ScenarioError::invalid(format!("{key}.zone"), cause));
        };
        Ok(Some(index as u32))
    }

    fn checked_indices(&self, key: &str, members: usize) -> Result<Option<BTreeSet<u32>>, ScenarioError> {
        let Some(indices) = &self.indices else { return Ok(None) };
        let indices: BTreeSet<u32> = indices.iter().copied().collect();
        if let Some(missing) = indices.iter().find(|index| **index as usize >= members) {
            let cause = format!("index {missing} is out of range: the day has {members}, numbered from 0");
            return Err(ScenarioError::invalid(format!("{key}.on"), cause));
        }
        Ok(Some(indices))
    }
}
