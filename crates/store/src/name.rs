//! Names: which a tenant or class may have, when two are the same one, and when two look alike.
//!
//! A tenant is named in any script. Its name is kept as given (composed, NFC) for display, and a second form
//! decides who is who: compatibility-composed, case-folded, without what is not seen (NFKC, default case
//! folding, no default-ignorable characters). `Bolnica`, `BOLNICA` and full-width `Ｂｏｌｎｉｃａ` are one name.
//!
//! Two names that differ but look alike (their skeletons by UTS #39 are equal) are told apart by their scripts.
//! If the scripts differ, as with Cyrillic `рау` beside Latin `pay`, the later name is refused: an operator who
//! reads one could change the other. Within the same scripts (`modern` and `modem`) nobody is refused, since
//! people who write that script are used to it, and many honest names would be lost.

use crate::error::Invalid;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use unicode_normalization::UnicodeNormalization;
use unicode_security::mixed_script::AugmentedScriptSet;
use unicode_security::skeleton;

/// The longest name in bytes, as displayed and in its unique form.
pub const LONGEST_NAME: usize = 4096;

/// The longest name of a class in bytes.
pub const LONGEST_CLASS: usize = 64;

/// The ranges of characters that are not seen (Default_Ignorable_Code_Point of Unicode 16).
const UNSEEN: [(u32, u32); 17] = [
    (0xad, 0xad),
    (0x34f, 0x34f),
    (0x61c, 0x61c),
    (0x115f, 0x1160),
    (0x17b4, 0x17b5),
    (0x180b, 0x180f),
    (0x200b, 0x200f),
    (0x202a, 0x202e),
    (0x2060, 0x206f),
    (0x3164, 0x3164),
    (0xfe00, 0xfe0f),
    (0xfeff, 0xfeff),
    (0xffa0, 0xffa0),
    (0xfff0, 0xfff8),
    (0x1bca0, 0x1bca3),
    (0x1d173, 0x1d17a),
    (0xe0000, 0xe0fff),
];

fn unseen(c: char) -> bool {
    UNSEEN.iter().any(|&(from, to)| (from..=to).contains(&u32::from(c)))
}

/// Turns the direction of the text after it, so that a name could rewrite the line it stands in.
fn turns(c: char) -> bool {
    matches!(c, '\u{202a}'..='\u{202e}' | '\u{2066}'..='\u{2069}')
}

/// A tenant's name, checked and composed (NFC).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name {
    shown: String,
}

impl Name {
    /// Checks a name: 1 to 4,096 bytes both as given and in its unique form; no control characters, no
    /// characters that turn the direction of text, no blank at either end, not `.` or `..` (which addresses
    /// in HTTP swallow), and something that is seen.
    pub fn new(text: &str) -> Result<Name, Invalid> {
        let bad = |cause: String| Err(Invalid::new("name", cause));
        if text.is_empty() {
            return bad("is empty".into());
        }
        if text.len() > LONGEST_NAME {
            return bad(format!("has {} bytes where at most {LONGEST_NAME} may be", text.len()));
        }
        let shown: String = text.nfc().collect();
        if let Some(c) =
            shown.chars().find(|&c| c.is_control() || turns(c) || matches!(c, '\u{2028}' | '\u{2029}'))
        {
            return bad(format!("has the character U+{:04X}, which no name may have", u32::from(c)));
        }
        if shown.trim() != shown {
            return bad("begins or ends with a blank".into());
        }
        if matches!(shown.as_str(), "." | "..") {
            return bad(format!("is {shown:?}, which addresses swallow"));
        }
        let name = Name { shown };
        let unique = name.unique();
        if unique.trim().is_empty() {
            return bad("has nothing that is seen".into());
        }
        let longest = unique.len().max(name.shown.len());
        if longest > LONGEST_NAME {
            return bad(format!("has {longest} bytes once composed, where at most {LONGEST_NAME} may be"));
        }
        Ok(name)
    }

    /// The name as it is displayed.
    pub fn as_str(&self) -> &str {
        &self.shown
    }

    /// The form that decides who is who; the key of the tenant's record.
    pub fn unique(&self) -> String {
        let mut form = fold(&self.shown);
        // Folding can give what composes further, and composing what folds further; a few rounds settle it.
        for _ in 0..4 {
            let next = fold(&form);
            if next == form {
                break;
            }
            form = next;
        }
        form
    }

    /// How the name looks.
    pub fn look(&self) -> Look {
        let unique = self.unique();
        let skeleton: String = skeleton(&unique).collect();
        let scripts = AugmentedScriptSet::for_str(&unique);
        Look { skeleton: hex(&Sha256::digest(skeleton.as_bytes())), scripts: format!("{scripts}") }
    }
}

fn fold(text: &str) -> String {
    let seen: String = text.nfkc().filter(|&c| !unseen(c)).collect();
    caseless::default_case_fold_str(&seen).nfkc().collect()
}

/// Bytes as hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.shown)
    }
}

impl TryFrom<String> for Name {
    type Error = Invalid;
    fn try_from(text: String) -> Result<Name, Invalid> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.shown
    }
}

/// How a name looks, and in which scripts it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Look {
    /// The hash of the skeleton: names that look alike have the same.
    pub skeleton: String,
    /// The scripts that can write all of it; a text that is compared and never read.
    pub scripts: String,
}

/// The name of a class: 1 to 64 of ASCII letters, digits, `-`, `_` and `.`, with a letter or digit first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClassName(String);

impl ClassName {
    /// Checks a name.
    pub fn new(text: &str) -> Result<ClassName, Invalid> {
        let bytes = text.as_bytes();
        let fits = bytes.first().is_some_and(u8::is_ascii_alphanumeric)
            && bytes.len() <= LONGEST_CLASS
            && bytes.iter().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(b));
        match fits {
            true => Ok(ClassName(text.into())),
            false => {
                Err(Invalid::new("class", format!("{text:?} is not 1 to 64 of A-Z, a-z, 0-9, '-', '_', '.'")))
            }
        }
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClassName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for ClassName {
    type Error = Invalid;
    fn try_from(text: String) -> Result<ClassName, Invalid> {
        ClassName::new(&text)
    }
}

impl From<ClassName> for String {
    fn from(name: ClassName) -> String {
        name.0
    }
}

#[cfg(test)]
mod tests;
