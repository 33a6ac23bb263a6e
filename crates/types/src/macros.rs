/// Declares messages: plain data that is sent between processes or written to disk.
///
/// Each gets the same derives, so that all of them can be cloned, compared, printed, and
/// archived with `rkyv` with checked access.
#[macro_export]
macro_rules! messages {
    ($($(#[$meta:meta])* $vis:vis $kind:ident $name:ident { $($body:tt)* })*) => {
        $(
            $(#[$meta])*
            #[derive(Debug, Clone, PartialEq, $crate::rkyv::Archive, $crate::rkyv::Serialize, $crate::rkyv::Deserialize)]
            #[rkyv(crate = $crate::rkyv)]
            $vis $kind $name { $($body)* }
        )*
    };
}
