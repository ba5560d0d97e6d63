/** What a step of a scenario does. */
export enum StepKind {
    Start = "start",
    Load = "load",
    Cut = "cut",
    Heal = "heal",
    Freeze = "freeze",
    Resume = "resume",
    Kill = "kill",
    Stop = "stop",
    Store = "store",
    Answers = "answers",
    Apply = "apply",
    Withdraw = "withdraw",
    Drain = "drain",
    Upstream = "upstream",
    Expect = "expect",
}
