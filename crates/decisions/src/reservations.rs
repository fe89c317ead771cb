//! Reservations: when a client has left and is expected to reconnect, its server keeps the client's load
//! reserved.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use crate::interface::{ServerId, Settings};

/// Largest number of reservations.
const MAX_RESERVATIONS: usize = 8192;
/// Shortest duration of a reservation, relative to the longest time after which a client reconnects.
const BASE_DURATION_RATIO: f64 = 1.5;

/// Load that is reserved on a server for a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub server: ServerId,
    pub load: f64,
    /// When the reservation expires.
    pub expires_at: f64,
}

/// All reservations, by the client's key. The caller keeps the loads assigned to the servers consistent with
/// them.
#[derive(Debug, Default)]
pub(crate) struct ReservationTable {
    reservations: BTreeMap<u64, Reservation>,
}

/// The shortest duration of a reservation, in seconds; the longest is twice that.
pub(crate) fn base_duration(settings: &Settings) -> f64 {
    settings.max_retry_after.max(settings.parked_connection_timeout) * BASE_DURATION_RATIO
}

impl ReservationTable {
    /// The reservation of a client; `None` for a client without a key.
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

    /// The reservations after the given key in order of keys, or all reservations for `None`.
    pub fn after(&self, key: Option<u64>) -> impl Iterator<Item = (u64, &Reservation)> {
        let range = self.reservations.range((key.map_or(Unbounded, Excluded), Unbounded));
        range.map(|(key, reservation)| (*key, reservation))
    }

    /// Keys of the clients whose reservations have expired.
    pub fn expired(&self, now: f64) -> Vec<u64> {
        let is_expired = |(_, reservation): &(&u64, &Reservation)| now >= reservation.expires_at;
        self.reservations.iter().filter(is_expired).map(|(key, _)| *key).collect()
    }
}
