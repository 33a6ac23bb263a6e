//! The body of a request while it comes in.

use crate::resource_budget::NoRoom;
use crate::socket::Socket;
use bytes::Bytes;
use memmap2::MmapMut;

/// A body up to this size is kept on the heap.
const MAX_HEAP_BYTES: usize = 64 << 10;
/// Memory is held for a body in steps of so many bytes.
const STEP_BYTES: usize = 64 << 10;

/// The bytes of a body in one piece, however many chunks they come in.
///
/// A large body is in a memory mapping of its own: pages that were not written cost nothing, and all of them are given
/// back to the system with the body.
///
/// Invariant: the bytes beyond the first [`MAX_HEAP_BYTES`] are held in the budget of the connection before they are
/// stored; those are part of what each request holds.
pub(super) struct BodyBuffer {
    heap: Vec<u8>,
    mapping: Option<MmapMut>,
    length: usize,
    /// Bytes that the budget holds for the body.
    reserved: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    /// An empty body of at most this size.
    pub(super) fn new(max_bytes: usize) -> Self {
        BodyBuffer {
            heap: Vec::new(),
            mapping: None,
            length: 0,
            reserved: MAX_HEAP_BYTES,
            max_bytes,
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// The budget has no room for them, or they exceed the size.
    pub(super) fn push(&mut self, bytes: &[u8], socket: &Socket) -> Result<(), NoRoom> {
        let length = self.length + bytes.len();
        if length > self.max_bytes {
            return Err(NoRoom::TooLarge);
        }
        while self.reserved < length {
            socket.reserve(STEP_BYTES as u64)?;
            self.reserved += STEP_BYTES;
        }
        if self.mapping.is_none() && length > MAX_HEAP_BYTES {
            self.move_to_mapping(socket)?;
        }
        match &mut self.mapping {
            Some(mapping) => mapping[self.length..length].copy_from_slice(bytes),
            None => self.heap.extend_from_slice(bytes),
        }
        self.length = length;
        Ok(())
    }

    fn move_to_mapping(&mut self, socket: &Socket) -> Result<(), NoRoom> {
        // More than this is never reserved, so never stored.
        let size = self.max_bytes.min(socket.largest_holding());
        let mut mapping = MmapMut::map_anon(size).map_err(|_| NoRoom::Busy)?;
        mapping[..self.length].copy_from_slice(&self.heap);
        self.heap = Vec::new();
        self.mapping = Some(mapping);
        Ok(())
    }

    /// The body, complete.
    pub(super) fn into_bytes(self) -> Bytes {
        match self.mapping {
            Some(mapping) => Bytes::from_owner(mapping).slice(..self.length),
            None => self.heap.into(),
        }
    }
}
