//! What a balancer knows, kept over its end. A [`record`] is text: a head, a line for each thing that is known, and a
//! last line with a checksum over all before it. A [`folder`] holds a few generations of them; a [`writer`] on a thread
//! of its own writes them, so that no loop waits for a disk. Whether a record may be believed is [`judge`]d by its head
//! alone; what of it still holds is for those to say who learned it. None of it knows what the things are.

pub mod choice;
pub mod folder;
pub mod judge;
pub mod record;
pub mod writer;
