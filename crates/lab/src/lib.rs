//! The lab: the emulated platform with the real driver and decision module behind it, and what people need to
//! experiment on them.
