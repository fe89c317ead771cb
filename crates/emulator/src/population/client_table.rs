//! The table of clients. Slots are reused; a generation number makes the index of a removed client invalid.

use rand::Rng;

use super::client::Client;

/// The index of a client in the table, valid until the client is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClientIndex {
    at: u32,
    generation: u32,
}

impl ClientIndex {
    /// An index that refers to no client.
    pub const NONE: ClientIndex = ClientIndex { at: u32::MAX, generation: 0 };
}

#[derive(Clone, Debug)]
struct Slot {
    generation: u32,
    client: Option<Client>,
    /// The position of this slot in `present`.
    position: u32,
}

/// The present clients.
#[derive(Debug, Default)]
pub(super) struct ClientTable {
    slots: Vec<Slot>,
    free: Vec<u32>,
    /// The occupied slots in arbitrary but deterministic order, from which `any` draws.
    present: Vec<u32>,
}

impl ClientTable {
    /// Adds a client.
    pub fn add(&mut self, client: Client) -> ClientIndex {
        let at = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, client: None, position: 0 });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[at as usize];
        slot.generation += 1;
        slot.client = Some(client);
        slot.position = self.present.len() as u32;
        self.present.push(at);
        ClientIndex { at, generation: slot.generation }
    }

    fn slot(&self, index: ClientIndex) -> Option<&Slot> {
        self.slots.get(index.at as usize).filter(|s| s.generation == index.generation)
    }

    /// Returns the client at this index, if it is present.
    pub fn get(&self, index: ClientIndex) -> Option<&Client> {
        self.slot(index)?.client.as_ref()
    }

    /// Returns the client at this index for modification, if it is present.
    pub fn get_mut(&mut self, index: ClientIndex) -> Option<&mut Client> {
        self.slots.get_mut(index.at as usize).filter(|s| s.generation == index.generation)?.client.as_mut()
    }

    /// Removes a client.
    pub fn remove(&mut self, index: ClientIndex) {
        let Some(position) = self.slot(index).filter(|s| s.client.is_some()).map(|s| s.position) else {
            return;
        };
        self.slots[index.at as usize].client = None;
        self.free.push(index.at);
        self.present.swap_remove(position as usize);
        if let Some(moved) = self.present.get(position as usize) {
            self.slots[*moved as usize].position = position;
        }
    }

    /// Draws one of the present clients with equal probability.
    pub fn any(&self, rng: &mut impl Rng) -> Option<ClientIndex> {
        if self.present.is_empty() {
            return None;
        }
        let at = self.present[rng.random_range(0..self.present.len())];
        Some(ClientIndex { at, generation: self.slots[at as usize].generation })
    }

    /// The indices of all present clients, ordered by slot.
    pub fn indices(&self) -> Vec<ClientIndex> {
        let occupied = self.slots.iter().enumerate().filter(|(_, s)| s.client.is_some());
        occupied.map(|(at, s)| ClientIndex { at: at as u32, generation: s.generation }).collect()
    }

    /// The number of present clients.
    pub fn len(&self) -> usize {
        self.present.len()
    }
}
