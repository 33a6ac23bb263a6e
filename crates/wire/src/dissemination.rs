use types::messages;

messages! {
    /// The leg of a digest's way through the fleet.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum DigestLeg {
        /// From a node to the collector of its zone: what the node observed.
        Report,
        /// From the collector of a zone to that of another zone: the sum of the zone.
        Zone,
        /// From the collector of a zone to a node: the sum of the fleet.
        Fleet,
    }
}
