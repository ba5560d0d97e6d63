/** How an experiment causes a fault. */
export enum FaultKind {
    /** A POST request to a stand-in's control endpoint. */
    Control = "control",
    /** A signal to a process. */
    Signal = "signal",
    /** An operator's HTTP request. */
    Operator = "operator",
}
