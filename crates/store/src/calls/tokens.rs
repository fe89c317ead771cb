//! Tokens made and revoked.

use super::view::{PENDING, View};
use super::{Answer, Kept};
use crate::error::{Invalid, StoreError};
use crate::key::{Key, Space};
use crate::record::{Actor, Deed, NewToken, PlaceRecord, Role, TokenId, TokenRecord, TokenSeed};

pub(super) fn create(
    view: &mut View<'_>,
    who: &Actor,
    new: &NewToken,
    seed: &TokenSeed,
) -> Result<Answer, StoreError> {
    if let Role::TenantAdmin(place) = new.role {
        let given = view.get::<PlaceRecord>(&Key::new(Space::Place, place.key()))?;
        if given.is_none_or(|(_, p)| p.removed.is_some()) {
            return Err(Invalid::new("place", format!("no tenant stands at {place}")).into());
        }
    }
    let minted = TokenRecord::mint(new.clone(), seed, view.now)?;
    let key = Key::new(Space::Token, minted.record.id.as_str());
    if view.get::<TokenRecord>(&key)?.is_some() {
        return Err(StoreError::Exists { key: key.text() });
    }
    view.put(&key, &minted.record)?;
    view.audit(who, Deed::TokenCreate, key.text(), None, Some(minted.record.shown()))?;
    let token = Kept { version: PENDING, record: minted.record };
    Ok(Answer::Token { token, text: Some(minted.text) })
}

/// Revoking a revoked token is no fault and changes nothing.
pub(super) fn revoke(view: &mut View<'_>, who: &Actor, id: &TokenId) -> Result<Answer, StoreError> {
    let key = Key::new(Space::Token, id.as_str());
    let (version, before): (_, TokenRecord) = view.at(&key, None)?;
    if before.revoked.is_some() {
        return Ok(Answer::Token { token: Kept { version, record: before }, text: None });
    }
    let record = TokenRecord { revoked: Some(view.now), ..before.clone() };
    view.put(&key, &record)?;
    view.audit(who, Deed::TokenRevoke, key.text(), Some(before.shown()), Some(record.shown()))?;
    Ok(Answer::Token { token: Kept { version: PENDING, record }, text: None })
}
