//! Reservations: a client that has left is expected back at its server, which keeps the client's load for it.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use crate::interface::{ServerId, Settings};

/// Most clients with a reservation.
const MAX_RESERVATIONS: usize = 8192;
/// The shortest reservation over the longest time after which a client comes back.
const BASE_DURATION_RATIO: f64 = 1.5;

/// Load that is kept for a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub server: ServerId,
    pub load: f64,
    /// When it ends.
    pub expires_at: f64,
}

/// All reservations by the client's key. The caller keeps the servers' loads in step.
#[derive(Debug, Default)]
pub(crate) struct ReservationTable {
    reservations: BTreeMap<u64, Reservation>,
}

/// The shortest time that a reservation lasts, in seconds; the longest is twice as much.
pub(crate) fn base_duration(settings: &Settings) -> f64 {
    settings.max_retry_after.max(settings.parked_connection_timeout) * BASE_DURATION_RATIO
}

impl ReservationTable {
    /// The reservation of a client; none for one without a key.
    pub fn get(&self, key: u64) -> Option<&Reservation> {
        self.reservations.get(&key).filter(|_| key != 0)
    }

    pub fn contains(&self, key: u64) -> bool {
        self.reservations.contains_key(&key)
    }

    pub fn is_full(&self) -> bool {
        self.reservations.len() >= MAX_RESERVATIONS
    }

    pub fn insert(&mut self, key: u64, reservation: Reservation) {
        self.reservations.insert(key, reservation);
    }

    pub fn remove(&mut self, key: u64) -> Option<Reservation> {
        self.reservations.remove(&key)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Reservation> {
        self.reservations.values()
    }

    /// Reservations behind a key in the order of keys, from the first one for `None`.
    pub fn after(&self, key: Option<u64>) -> impl Iterator<Item = (u64, &Reservation)> {
        let range = self.reservations.range((key.map_or(Unbounded, Excluded), Unbounded));
        range.map(|(key, reservation)| (*key, reservation))
    }

    /// Keys of the clients whose reservations have ended.
    pub fn expired(&self, now: f64) -> Vec<u64> {
        let is_expired = |(_, reservation): &(&u64, &Reservation)| now >= reservation.expires_at;
        self.reservations.iter().filter(is_expired).map(|(key, _)| *key).collect()
    }
}
