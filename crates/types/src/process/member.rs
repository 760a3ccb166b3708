//! Id of a member of the control group.

hexadecimal! {
    /// Id of a member of the control group.
    ///
    /// Generated when the data folder is created and stored there: at random, or
    /// derived from the host's address at the first start of a deployment. A host that
    /// has lost its disk returns as another member.
    MemberId
}
