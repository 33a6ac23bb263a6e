use types::{Address, Milliseconds, ViewNumber, messages};

messages! {
    /// The addresses of a controller with a disk.
    #[derive(Copy, Eq)]
    pub struct ControllerContact {
        /// The address for processes of the fleet.
        pub inner: Address,
        /// The address for operators.
        pub admin: Address,
        /// The time since some controller last received something from it.
        pub age: Milliseconds,
    }

    /// Where the core is, as far as a controller knows. A controller that has just started knows its seeds only, and
    /// these may be controllers without a disk: so all controllers send what they know to their seeds, which respond
    /// with the same.
    #[derive(Eq)]
    pub struct CoreLocation {
        /// The newest view known; 0 if none is.
        pub view: ViewNumber,
        /// The voters of the view.
        pub voters: Vec<Address>,
        /// The controllers with a disk that were reachable lately.
        pub controllers: Vec<ControllerContact>,
    }
}
