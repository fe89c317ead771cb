//! Classes made, changed and removed.

use super::tenants::next_place;
use super::view::{PENDING, View};
use super::{Answer, CLASS_PLACES, Kept, shown};
use crate::error::{Invalid, StoreError};
use crate::key::{Key, Space};
use crate::name::ClassName;
use crate::record::{Actor, ClassRecord, Deed, TenantRecord};
use crate::store::{Ask, Revision};

pub(super) fn put(
    view: &mut View<'_>,
    who: &Actor,
    class: &ClassRecord,
    expected: Option<Revision>,
) -> Result<Answer, StoreError> {
    let key = Key::new(Space::Class, class.name().as_str());
    let before = view.get::<ClassRecord>(&key)?;
    let found = before.as_ref().map_or(Revision(0), |(version, _)| *version);
    if let Some(expected) = expected.filter(|e| *e != found) {
        return Err(StoreError::Conflict { key: key.text(), expected, found });
    }
    let before = before.map(|(_, before)| before);
    let (place, created, deed) = match &before {
        Some(before) => (before.place(), before.created(), Deed::ClassChange),
        None => (next_place(view, CLASS_PLACES)?, view.now, Deed::ClassCreate),
    };
    let record = class.clone().placed(place, created, view.now);
    view.put(&key, &record)?;
    view.audit(who, deed, key.text(), shown(&before), shown(&Some(&record)))?;
    Ok(Answer::Class(Kept { version: PENDING, record }))
}

/// A tenant that comes to name the class while this looks keeps a name without a class, which admits nothing.
pub(super) fn remove(
    view: &mut View<'_>,
    who: &Actor,
    name: &ClassName,
    expected: Option<Revision>,
) -> Result<Answer, StoreError> {
    let key = Key::new(Space::Class, name.as_str());
    let (_, before): (_, ClassRecord) = view.at(&key, expected)?;
    let mut ask = Ask::of(Space::Tenant);
    loop {
        let page = view.list(&ask)?;
        for entry in &page.entries {
            let tenant: TenantRecord = entry.read()?;
            if tenant.classes.is_some_and(|classes| classes.contains(name)) {
                return Err(
                    Invalid::new(key.text(), format!("tenant {:?} names it", tenant.name.as_str())).into()
                );
            }
        }
        match page.entries.last() {
            Some(last) if page.more => ask.after = Some(last.key.name.clone()),
            _ => break,
        }
    }
    view.remove(&key);
    view.audit(who, Deed::ClassRemove, key.text(), shown(&Some(&before)), None)?;
    Ok(Answer::Removed(before.place()))
}
