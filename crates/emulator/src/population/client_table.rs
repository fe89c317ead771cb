//! The table of clients: places are used again, and a place that was left names nobody until then.

use rand::Rng;

use super::client::Client;

/// A client's place. It stays valid for as long as the client is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClientIndex {
    at: u32,
    generation: u32,
}

impl ClientIndex {
    /// Nobody's place.
    pub const NOBODY: ClientIndex = ClientIndex { at: u32::MAX, generation: 0 };
}

#[derive(Clone, Debug)]
struct Slot {
    generation: u32,
    client: Option<Client>,
    /// Where `present` names this slot.
    listed: u32,
}

/// Everybody who is there.
#[derive(Debug, Default)]
pub(super) struct ClientTable {
    slots: Vec<Slot>,
    free: Vec<u32>,
    /// The taken slots, in no order that matters: one is drawn, or all are gone through in order of places.
    present: Vec<u32>,
}

impl ClientTable {
    /// Takes in a client.
    pub fn add(&mut self, client: Client) -> ClientIndex {
        let at = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, client: None, listed: 0 });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[at as usize];
        slot.generation += 1;
        slot.client = Some(client);
        slot.listed = self.present.len() as u32;
        self.present.push(at);
        ClientIndex { at, generation: slot.generation }
    }

    fn slot(&self, place: ClientIndex) -> Option<&Slot> {
        self.slots.get(place.at as usize).filter(|s| s.generation == place.generation)
    }

    /// Who has this place.
    pub fn get(&self, place: ClientIndex) -> Option<&Client> {
        self.slot(place)?.client.as_ref()
    }

    /// As above.
    pub fn get_mut(&mut self, place: ClientIndex) -> Option<&mut Client> {
        self.slots.get_mut(place.at as usize).filter(|s| s.generation == place.generation)?.client.as_mut()
    }

    /// Lets a client go.
    pub fn remove(&mut self, place: ClientIndex) {
        let Some(listed) = self.slot(place).filter(|s| s.client.is_some()).map(|s| s.listed) else { return };
        self.slots[place.at as usize].client = None;
        self.free.push(place.at);
        self.present.swap_remove(listed as usize);
        if let Some(moved) = self.present.get(listed as usize) {
            self.slots[*moved as usize].listed = listed;
        }
    }

    /// Somebody who is there.
    pub fn any(&self, rng: &mut impl Rng) -> Option<ClientIndex> {
        if self.present.is_empty() {
            return None;
        }
        let at = self.present[rng.random_range(0..self.present.len())];
        Some(ClientIndex { at, generation: self.slots[at as usize].generation })
    }

    /// Everybody, in order of places.
    pub fn indices(&self) -> Vec<ClientIndex> {
        let taken = self.slots.iter().enumerate().filter(|(_, s)| s.client.is_some());
        taken.map(|(at, s)| ClientIndex { at: at as u32, generation: s.generation }).collect()
    }

    /// How many are there.
    pub fn len(&self) -> usize {
        self.present.len()
    }
}
