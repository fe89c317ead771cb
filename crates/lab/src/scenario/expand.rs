//! Owns what a writer may leave out or write shortly: names in place of numbers, `balancers = 4`, fleets of machines
//! and the defaults of list entries. What comes out has exactly the form of [`Day`](shorewharf_emulator::day::Day).

use rand::SeedableRng;
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use toml::Value;

use super::Problem;
use super::tree::{Form, SourceLocation, Tree};

/// Machines of one kind, written together.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Fleet {
    kind: String,
    count: u32,
    /// Their zones in turn; all zones where this is left out.
    zones: Option<Vec<String>>,
    /// Nominal speed of a core.
    #[serde(default = "one")]
    speed: f64,
    /// Spread of the true speeds round the nominal one, drawn by the day's seed.
    #[serde(default)]
    speed_cv: f64,
    /// Weight in the list; nominal capacity where this is left out.
    weight: Option<f64>,
    /// Their cell; their zone where this is left out.
    cell: Option<u32>,
    #[serde(default = "yes")]
    up: bool,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

// Lower bound of a drawn speed, as a ratio of the nominal speed.
const MIN_SPEED_RATIO: f64 = 0.2;
// Keeps the draws of speeds apart from everything else that the day's seed draws.
const SPEED_SEED_MASK: u64 = 0x5eed_f1ee;

/// Rewrites a merged tree into the form of a day, in place.
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

/// Every entry of a list gets what it does not say from the table of the same name under `entry`.
fn apply_entry_defaults(tree: &mut Tree) {
    let Some(table) = tree.table_mut() else { return };
    let Some(entry) = table.remove("entry") else { return };
    let Form::Table(entries) = entry.form else { return };
    for (list, default) in entries {
        for item in table.get_mut(&list).and_then(Tree::list_mut).into_iter().flatten() {
            let mine = std::mem::replace(item, default.clone());
            *item = mine.merge_over(default.clone());
        }
    }
}

fn names(tree: &Tree, list: &str) -> Vec<String> {
    let Some(Tree { form: Form::List(items), .. }) = tree.get(list) else { return Vec::new() };
    let name = |item: &Tree| match &item.form {
        Form::Leaf(Value::String(s)) => s.clone(),
        _ => item.name().unwrap_or_default().to_owned(),
    };
    items.iter().map(name).collect()
}

/// Without a word on zones, clients come evenly from all of them.
fn default_zone_shares(tree: &mut Tree, zones: usize) {
    let Some(traffic) = tree.table_mut().and_then(|t| t.get_mut("traffic")) else { return };
    let place = traffic.location.clone();
    if let Some(t) = traffic.table_mut() {
        let even = Value::Array(vec![Value::Float(1.0 / zones.max(1) as f64); zones]);
        t.entry("zone_share".into()).or_insert_with(|| Tree::from_value(&place, even));
    }
}

/// `balancers = 4` stands for four, dealt out over the zones.
fn expand_balancer_count(tree: &mut Tree, zones: usize) {
    let Some(value) = tree.table_mut().and_then(|t| t.get_mut("balancers")) else { return };
    if let Form::Leaf(Value::Integer(n)) = value.form {
        let one = |i: i64| {
            Value::Table([("zone".into(), Value::Integer(i % zones.max(1) as i64))].into_iter().collect())
        };
        *value = Tree::from_value(&value.location, Value::Array((0..n).map(one).collect()));
    }
}

fn replace_names_by_index(value: &mut Tree, path: &str, known: &[String]) -> Result<(), Problem> {
    if let Form::List(items) = &mut value.form {
        return items
            .iter_mut()
            .enumerate()
            .try_for_each(|(i, v)| replace_names_by_index(v, &format!("{path}[{i}]"), known));
    }
    let Form::Leaf(Value::String(name)) = &value.form else { return Ok(()) };
    let place = index_of(name, known).ok_or_else(|| Problem::unknown(&value.location, path, name, known))?;
    value.form = Form::Leaf(Value::Integer(place as i64));
    Ok(())
}

fn index_of(name: &str, known: &[String]) -> Option<usize> {
    known.iter().position(|k| k == name)
}

fn expand_fleets(tree: &mut Tree, zones: &[String], kinds: &[String]) -> Result<(), Problem> {
    let cores: Vec<f64> = match tree.get("kinds").map(|k| &k.form) {
        Some(Form::List(items)) => items.iter().map(|k| number(k.get("cores")).unwrap_or(1.0)).collect(),
        _ => Vec::new(),
    };
    let seed = number(tree.get("seed")).unwrap_or(0.0) as u64;
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SPEED_SEED_MASK);
    let Some(table) = tree.table_mut() else { return Ok(()) };
    let Some(Tree { form: Form::List(expand_fleets), location: written_at }) = table.remove("fleet") else {
        return Ok(());
    };
    let mut nodes = Vec::new();
    for (f, item) in expand_fleets.iter().enumerate() {
        let fleet: Fleet = serde_path_to_error::deserialize(item.value())
            .map_err(|e| super::deserialization_problem(item, &format!("fleet[{f}]"), &e))?;
        let place = |key: &str| item.location_of(key);
        let at = |key: &str| format!("fleet[{f}].{key}");
        let kind = index_of(&fleet.kind, kinds)
            .ok_or_else(|| Problem::unknown(place("kind"), &at("kind"), &fleet.kind, kinds))?;
        let in_zones: Vec<u32> = match &fleet.zones {
            None => (0..zones.len() as u32).collect(),
            Some(named) => named
                .iter()
                .map(|z| {
                    index_of(z, zones)
                        .map(|z| z as u32)
                        .ok_or_else(|| Problem::unknown(place("zones"), &at("zones"), z, zones))
                })
                .collect::<Result<_, _>>()?,
        };
        if fleet.count > 0 && in_zones.is_empty() {
            return Err(Problem::at(place("zones"), &at("zones"), "must name a zone"));
        }
        if fleet.count > MAX_FLEET_NODES {
            return Err(Problem::at(
                place("count"),
                &at("count"),
                format!("must be {MAX_FLEET_NODES} at most"),
            ));
        }
        if !(fleet.speed > 0.0 && fleet.speed.is_finite()) {
            return Err(Problem::at(place("speed"), &at("speed"), "must be above 0"));
        }
        let spread = Normal::new(fleet.speed, fleet.speed * fleet.speed_cv.abs())
            .map_err(|_| Problem::at(place("speed_cv"), &at("speed_cv"), "must be a number"))?;
        let weight = fleet.weight.unwrap_or(cores[kind] * fleet.speed);
        for _ in 0..fleet.count {
            // A fleet goes on where the last one stopped, so that small ones don't all stand in the first zone.
            let zone = in_zones[nodes.len() % in_zones.len()];
            let speed = spread.sample(&mut rng).max(MIN_SPEED_RATIO * fleet.speed);
            nodes.push(node(&item.location, zone, kind as u32, &fleet, speed, weight));
        }
    }
    let written = table
        .entry("nodes".into())
        .or_insert_with(|| Tree::from_value(&written_at, Value::Array(Vec::new())));
    written.location = written_at.clone();
    if let Some(list) = written.list_mut() {
        list.extend(nodes);
    }
    Ok(())
}

// Catches typing errors in a count.
const MAX_FLEET_NODES: u32 = 100_000;

fn node(place: &SourceLocation, zone: u32, kind: u32, fleet: &Fleet, speed: f64, weight: f64) -> Tree {
    let entries = [
        ("zone", Value::Integer(zone.into())),
        ("kind", Value::Integer(kind.into())),
        ("cell", Value::Integer(fleet.cell.unwrap_or(zone).into())),
        ("speed", Value::Float(speed)),
        ("weight", Value::Float(weight)),
        ("up", Value::Boolean(fleet.up)),
    ];
    Tree::from_value(place, Value::Table(entries.into_iter().map(|(k, v)| (k.to_owned(), v)).collect()))
}

fn number(tree: Option<&Tree>) -> Option<f64> {
    match &tree?.form {
        Form::Leaf(Value::Integer(n)) => Some(*n as f64),
        Form::Leaf(Value::Float(x)) => Some(*x),
        _ => None,
    }
}

/// A tenant that says no more sends what it has agreed on, and may use that part of what all nodes can do.
fn default_tenant_shares(tree: &mut Tree) {
    let tenants = tree.table_mut().and_then(|t| t.get_mut("tenants")).and_then(Tree::list_mut);
    for tenant in tenants.into_iter().flatten() {
        let Some(table) = tenant.table_mut() else { continue };
        let Some(share) = table.get("share").cloned() else { continue };
        table.entry("traffic".into()).or_insert_with(|| share.clone());
        table.entry("quota".into()).or_insert(share);
    }
}
