//! Expansion of the shorthands of a scenario file: names in place of indices, `balancers = 4`, fleets of
//! machines and default values of list entries. The result has exactly the keys of
//! [`Day`](shorewharf_emulator::day::Day).

use rand::SeedableRng;
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use toml::Value;

use super::Problem;
use super::tree::{SourceLocation, Tree, TreeKind};

/// An entry of `fleet`: several nodes of one kind.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Fleet {
    kind: String,
    count: u32,
    /// Zones that the nodes are assigned to in turn; all zones if absent.
    zones: Option<Vec<String>>,
    /// Nominal speed of a core, relative to a standard core.
    #[serde(default = "default_speed")]
    speed: f64,
    /// Coefficient of variation of the nodes' actual speeds, which are drawn with the day's seed.
    #[serde(default)]
    speed_cv: f64,
    /// Weight of each node in the endpoint list; its nominal capacity if absent.
    weight: Option<f64>,
    /// Cell of the nodes; the index of each node's zone if absent.
    cell: Option<u32>,
    /// Whether the nodes run when the day starts.
    #[serde(default = "default_up")]
    up: bool,
}

fn default_speed() -> f64 {
    1.0
}

fn default_up() -> bool {
    true
}

// Lower bound of a drawn speed, as a ratio of the nominal speed.
const MIN_SPEED_RATIO: f64 = 0.2;
// Makes the random numbers for speeds independent of all others that are drawn with the day's seed.
const SPEED_SEED_MASK: u64 = 0x5eed_f1ee;

/// Expands all shorthands of a merged tree in place.
pub fn expand(tree: &mut Tree) -> Result<(), Problem> {
    apply_entry_defaults(tree);
    let zones = names(tree, "zones");
    let kinds = names(tree, "kinds");
    let tenants = names(tree, "tenants");
    default_zone_shares(tree, zones.len());
    expand_balancer_count(tree, zones.len());
    expand_fleets(tree, &zones, &kinds)?;
    for (list, key, known) in [
        ("nodes", "zone", &zones),
        ("nodes", "kind", &kinds),
        ("balancers", "zone", &zones),
        ("faults", "zone", &zones),
        ("faults", "on", &tenants),
    ] {
        let items = tree.table_mut().and_then(|t| t.get_mut(list)).and_then(Tree::list_mut);
        for (i, item) in items.into_iter().flatten().enumerate() {
            if let Some(value) = item.table_mut().and_then(|t| t.get_mut(key)) {
                replace_names_by_index(value, &format!("{list}[{i}].{key}"), known)?;
            }
        }
    }
    default_tenant_shares(tree);
    Ok(())
}

/// Fills in keys that an entry of a list lacks, from the table with the name of the list under `entry`.
fn apply_entry_defaults(tree: &mut Tree) {
    let Some(table) = tree.table_mut() else { return };
    let Some(entry) = table.remove("entry") else { return };
    let TreeKind::Table(entries) = entry.kind else { return };
    for (list, default) in entries {
        for item in table.get_mut(&list).and_then(Tree::list_mut).into_iter().flatten() {
            let own = std::mem::replace(item, default.clone());
            *item = own.merge_over(default.clone());
        }
    }
}

/// Names of the entries of a list: the entries themselves if they are strings, else their `name`.
fn names(tree: &Tree, list: &str) -> Vec<String> {
    let Some(Tree { kind: TreeKind::List(items), .. }) = tree.get(list) else { return Vec::new() };
    let name = |item: &Tree| match &item.kind {
        TreeKind::Leaf(Value::String(s)) => s.clone(),
        _ => item.name().unwrap_or_default().to_owned(),
    };
    items.iter().map(name).collect()
}

/// Sets `traffic.zone_share` to equal shares if it is absent.
fn default_zone_shares(tree: &mut Tree, zones: usize) {
    let Some(traffic) = tree.table_mut().and_then(|t| t.get_mut("traffic")) else { return };
    let location = traffic.location.clone();
    if let Some(t) = traffic.table_mut() {
        let equal_shares = Value::Array(vec![Value::Float(1.0 / zones.max(1) as f64); zones]);
        t.entry("zone_share".into()).or_insert_with(|| Tree::from_value(&location, equal_shares));
    }
}

/// Expands `balancers = 4` to four entries, assigned to the zones in turn.
fn expand_balancer_count(tree: &mut Tree, zones: usize) {
    let Some(value) = tree.table_mut().and_then(|t| t.get_mut("balancers")) else { return };
    if let TreeKind::Leaf(Value::Integer(n)) = value.kind {
        let balancer = |i: i64| {
            Value::Table([("zone".into(), Value::Integer(i % zones.max(1) as i64))].into_iter().collect())
        };
        *value = Tree::from_value(&value.location, Value::Array((0..n).map(balancer).collect()));
    }
}

/// Replaces a name, or each name of a list, by its index in `known`; `path` is the key for error messages.
fn replace_names_by_index(value: &mut Tree, path: &str, known: &[String]) -> Result<(), Problem> {
    if let TreeKind::List(items) = &mut value.kind {
        return items
            .iter_mut()
            .enumerate()
            .try_for_each(|(i, v)| replace_names_by_index(v, &format!("{path}[{i}]"), known));
    }
    let TreeKind::Leaf(Value::String(name)) = &value.kind else { return Ok(()) };
    let index = index_of(name, known).ok_or_else(|| Problem::unknown(&value.location, path, name, known))?;
    value.kind = TreeKind::Leaf(Value::Integer(index as i64));
    Ok(())
}

fn index_of(name: &str, known: &[String]) -> Option<usize> {
    known.iter().position(|k| k == name)
}

fn expand_fleets(tree: &mut Tree, zones: &[String], kinds: &[String]) -> Result<(), Problem> {
    let cores: Vec<f64> = match tree.get("kinds").map(|k| &k.kind) {
        Some(TreeKind::List(items)) => items.iter().map(|k| number(k.get("cores")).unwrap_or(1.0)).collect(),
        _ => Vec::new(),
    };
    let seed = number(tree.get("seed")).unwrap_or(0.0) as u64;
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SPEED_SEED_MASK);
    let Some(table) = tree.table_mut() else { return Ok(()) };
    let Some(Tree { kind: TreeKind::List(fleets), location: fleets_location }) = table.remove("fleet") else {
        return Ok(());
    };
    let mut nodes = Vec::new();
    for (f, item) in fleets.iter().enumerate() {
        let fleet: Fleet = serde_path_to_error::deserialize(item.value())
            .map_err(|e| super::deserialization_problem(item, &format!("fleet[{f}]"), &e))?;
        let location = |key: &str| item.location_of(key);
        let path = |key: &str| format!("fleet[{f}].{key}");
        let kind = index_of(&fleet.kind, kinds)
            .ok_or_else(|| Problem::unknown(location("kind"), &path("kind"), &fleet.kind, kinds))?;
        let in_zones: Vec<u32> = match &fleet.zones {
            None => (0..zones.len() as u32).collect(),
            Some(named) => named
                .iter()
                .map(|z| {
                    index_of(z, zones)
                        .map(|z| z as u32)
                        .ok_or_else(|| Problem::unknown(location("zones"), &path("zones"), z, zones))
                })
                .collect::<Result<_, _>>()?,
        };
        if fleet.count > 0 && in_zones.is_empty() {
            return Err(Problem::at(location("zones"), &path("zones"), "must name at least one zone"));
        }
        if fleet.count > MAX_FLEET_NODES {
            return Err(Problem::at(
                location("count"),
                &path("count"),
                format!("must be at most {MAX_FLEET_NODES}, is {}", fleet.count),
            ));
        }
        if !(fleet.speed > 0.0 && fleet.speed.is_finite()) {
            return Err(Problem::at(
                location("speed"),
                &path("speed"),
                format!("must be a finite number above 0, is {}", fleet.speed),
            ));
        }
        let speeds = Normal::new(fleet.speed, fleet.speed * fleet.speed_cv.abs()).map_err(|_| {
            Problem::at(
                location("speed_cv"),
                &path("speed_cv"),
                format!("must be a finite number, is {}", fleet.speed_cv),
            )
        })?;
        let weight = fleet.weight.unwrap_or(cores[kind] * fleet.speed);
        for _ in 0..fleet.count {
            // Each fleet continues with the zone after the previous fleet's last one, so that small fleets
            // don't all end up in the first zone.
            let zone = in_zones[nodes.len() % in_zones.len()];
            let speed = speeds.sample(&mut rng).max(MIN_SPEED_RATIO * fleet.speed);
            nodes.push(node(&item.location, zone, kind as u32, &fleet, speed, weight));
        }
    }
    let node_list = table
        .entry("nodes".into())
        .or_insert_with(|| Tree::from_value(&fleets_location, Value::Array(Vec::new())));
    node_list.location = fleets_location.clone();
    if let Some(list) = node_list.list_mut() {
        list.extend(nodes);
    }
    Ok(())
}

// Upper limit of a fleet's count, which catches typing errors.
const MAX_FLEET_NODES: u32 = 100_000;

fn node(location: &SourceLocation, zone: u32, kind: u32, fleet: &Fleet, speed: f64, weight: f64) -> Tree {
    let entries = [
        ("zone", Value::Integer(zone.into())),
        ("kind", Value::Integer(kind.into())),
        ("cell", Value::Integer(fleet.cell.unwrap_or(zone).into())),
        ("speed", Value::Float(speed)),
        ("weight", Value::Float(weight)),
        ("up", Value::Boolean(fleet.up)),
    ];
    Tree::from_value(location, Value::Table(entries.into_iter().map(|(k, v)| (k.to_owned(), v)).collect()))
}

fn number(tree: Option<&Tree>) -> Option<f64> {
    match &tree?.kind {
        TreeKind::Leaf(Value::Integer(n)) => Some(*n as f64),
        TreeKind::Leaf(Value::Float(x)) => Some(*x),
        _ => None,
    }
}

/// Sets a tenant's `traffic` and `quota` to its `share` if they are absent: it sends its agreed share of the
/// traffic and may use that share of the total capacity.
fn default_tenant_shares(tree: &mut Tree) {
    let tenants = tree.table_mut().and_then(|t| t.get_mut("tenants")).and_then(Tree::list_mut);
    for tenant in tenants.into_iter().flatten() {
        let Some(table) = tenant.table_mut() else { continue };
        let Some(share) = table.get("share").cloned() else { continue };
        table.entry("traffic".into()).or_insert_with(|| share.clone());
        table.entry("quota".into()).or_insert(share);
    }
}
