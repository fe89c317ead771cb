//! Tenants made, changed and removed.

use super::view::{PENDING, View};
use super::{Answer, Kept, SERVICE, TENANT_PLACES, TENANTS, shown};
use crate::error::{Invalid, StoreError};
use crate::key::{Key, Space};
use crate::name::{ClassName, Name};
use crate::record::{Actor, Deed, NewTenant, Place, PlaceRecord, ServiceLimits, TenantChange, TenantRecord};
use crate::store::Revision;
use std::collections::{BTreeMap, BTreeSet};

/// Names of tenants that look alike, and the scripts of each.
type Looks = BTreeMap<String, String>;

/// The next place of a kind; places are counted up and never given again.
pub(super) fn next_place(view: &mut View<'_>, counter: &str) -> Result<Place, StoreError> {
    let next = view.counter(counter)?;
    let place = u32::try_from(next).ok().filter(|&p| p < u32::MAX);
    let place =
        place.ok_or(StoreError::TooMuch { what: counter.into(), found: next, limit: u64::from(u32::MAX) })?;
    view.set_counter(counter, next + 1)?;
    Ok(Place(place))
}

fn key_of(name: &Name) -> Key {
    Key::new(Space::Tenant, name.unique())
}

fn place_key(place: Place) -> Key {
    Key::new(Space::Place, place.key())
}

/// Refuses names of classes that there are none of: a slip of the pen would shut a tenant out.
fn known(view: &mut View<'_>, classes: &Option<BTreeSet<ClassName>>) -> Result<(), StoreError> {
    for (i, class) in classes.iter().flatten().enumerate() {
        let found = view.get::<serde_json::Value>(&Key::new(Space::Class, class.as_str()))?;
        if found.is_none() {
            return Err(Invalid::new(format!("classes[{i}]"), format!("there is no class {class}")).into());
        }
    }
    Ok(())
}

fn take_look(view: &mut View<'_>, name: &Name) -> Result<(), StoreError> {
    let look = name.look();
    let key = Key::new(Space::Look, look.skeleton);
    let mut names: Looks = view.get(&key)?.map(|(_, names)| names).unwrap_or_default();
    if let Some((like, _)) = names.iter().find(|(_, scripts)| **scripts != look.scripts) {
        return Err(StoreError::LooksLike { name: name.to_string(), like: like.clone() });
    }
    names.insert(name.unique(), look.scripts);
    view.put(&key, &names)
}

fn leave_look(view: &mut View<'_>, name: &Name) -> Result<(), StoreError> {
    let key = Key::new(Space::Look, name.look().skeleton);
    let mut names: Looks = view.get(&key)?.map(|(_, names)| names).unwrap_or_default();
    names.remove(&name.unique());
    match names.is_empty() {
        true => view.remove(&key),
        false => view.put(&key, &names)?,
    }
    Ok(())
}

pub(super) fn create(view: &mut View<'_>, who: &Actor, new: &NewTenant) -> Result<Answer, StoreError> {
    let key = key_of(&new.name);
    if view.get::<TenantRecord>(&key)?.is_some() {
        return Err(StoreError::Exists { key: key.text() });
    }
    let count = view.counter(TENANTS)?;
    let limits = view.get::<ServiceLimits>(&Key::new(Space::Limits, SERVICE))?;
    if let Some(most) = limits.and_then(|(_, l)| l.tenants).filter(|&most| count >= u64::from(most)) {
        return Err(StoreError::TooMuch { what: "tenants".into(), found: count + 1, limit: u64::from(most) });
    }
    known(view, &new.classes)?;
    take_look(view, &new.name)?;
    let place = next_place(view, TENANT_PLACES)?;
    let record = TenantRecord {
        name: new.name.clone(),
        place,
        weight: new.weight,
        limits: new.limits.clone(),
        classes: new.classes.clone(),
        state: new.state,
        origin: new.origin,
        created: view.now,
        changed: view.now,
    };
    view.put(&key, &record)?;
    view.put(
        &place_key(place),
        &PlaceRecord { place, name: new.name.clone(), given: view.now, removed: None },
    )?;
    view.set_counter(TENANTS, count + 1)?;
    view.audit(who, Deed::TenantCreate, key.text(), None, shown(&Some(&record)))?;
    Ok(Answer::Tenant(Kept { version: PENDING, record }))
}

pub(super) fn change(
    view: &mut View<'_>,
    who: &Actor,
    name: &Name,
    expected: Option<Revision>,
    change: &TenantChange,
) -> Result<Answer, StoreError> {
    let key = key_of(name);
    let (_, before): (_, TenantRecord) = view.at(&key, expected)?;
    let mut record = before.clone();
    if let Some(name) = &change.name {
        if name.unique() != key.name {
            return Err(
                Invalid::new("name", format!("{name:?} is another name, not another spelling")).into()
            );
        }
        record.name = name.clone();
    }
    if let Some(classes) = &change.classes {
        known(view, classes)?;
        record.classes = classes.clone();
    }
    record.weight = change.weight.unwrap_or(record.weight);
    record.limits = change.limits.clone().unwrap_or(record.limits);
    record.state = change.state.unwrap_or(record.state);
    record.origin = change.origin.unwrap_or(record.origin);
    record.changed = view.now;
    view.put(&key, &record)?;
    if record.name != before.name {
        let key = place_key(record.place);
        let (_, place): (_, PlaceRecord) = view.at(&key, None)?;
        view.put(&key, &PlaceRecord { name: record.name.clone(), ..place })?;
    }
    view.audit(who, Deed::TenantChange, key.text(), shown(&Some(before)), shown(&Some(&record)))?;
    Ok(Answer::Tenant(Kept { version: PENDING, record }))
}

pub(super) fn remove(
    view: &mut View<'_>,
    who: &Actor,
    name: &Name,
    expected: Option<Revision>,
) -> Result<Answer, StoreError> {
    let key = key_of(name);
    let (_, before): (_, TenantRecord) = view.at(&key, expected)?;
    view.remove(&key);
    leave_look(view, &before.name)?;
    let place = place_key(before.place);
    let (_, given): (_, PlaceRecord) = view.at(&place, None)?;
    view.put(&place, &PlaceRecord { removed: Some(view.now), ..given })?;
    let count = view.counter(TENANTS)?;
    view.set_counter(TENANTS, count.saturating_sub(1))?;
    view.audit(who, Deed::TenantRemove, key.text(), shown(&Some(&before)), None)?;
    Ok(Answer::Removed(before.place))
}
