//! A data folder: records that are synced before they are acknowledged, and a snapshot that replaces
//! all before it at once.

mod book;
mod leaf;

/// What each file imports.
pub mod prelude {
    pub use crate::book::{Folio, FolioFault, Opened};
    pub use crate::leaf::{put_leaf, read_leaf};
    pub use parlance::prelude::*;
}
