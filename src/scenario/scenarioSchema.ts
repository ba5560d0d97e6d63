import { z } from "zod";
import { StepKind } from "./StepKind.js";

const at = z.number().nonnegative();
const host = z.number().int().nonnegative();
const hosts = z.array(host).min(1);
const share = z.number().min(0).max(1);
const faults = z.strictObject({
    errorRate: share.optional(),
    cutRate: share.optional(),
    lossRate: share.optional(),
    hangRate: share.optional(),
    slowFactor: z.number().positive().optional(),
    isDown: z.boolean().optional(),
    isShedding: z.boolean().optional(),
});

const step = z.discriminatedUnion("do", [
    z.strictObject({ at, do: z.literal(StepKind.Start), hosts }),
    z.strictObject({
        at,
        do: z.literal(StepKind.Load),
        name: z.string(),
        account: z.string(),
        route: z.string(),
        perSecond: z.number().positive(),
        forMs: z.number().positive(),
    }),
    z.strictObject({
        at,
        do: z.literal(StepKind.Cut),
        from: hosts,
        to: hosts.optional(),
        store: z.boolean().optional(),
    }),
    z.strictObject({ at, do: z.literal(StepKind.Heal) }),
    z.strictObject({ at, do: z.literal(StepKind.Freeze), hosts }),
    z.strictObject({ at, do: z.literal(StepKind.Resume), hosts }),
    z.strictObject({ at, do: z.literal(StepKind.Kill), hosts }),
    z.strictObject({ at, do: z.literal(StepKind.Stop), hosts }),
    z.strictObject({ at, do: z.literal(StepKind.Store), isAway: z.boolean() }),
    z.strictObject({ at, do: z.literal(StepKind.Answers), areLost: z.boolean() }),
    z.strictObject({
        at,
        do: z.literal(StepKind.Apply),
        host,
        account: z.string(),
        rate: z.number().positive(),
        burst: z.number().positive(),
    }),
    z.strictObject({ at, do: z.literal(StepKind.Withdraw), host, account: z.string() }),
    z.strictObject({ at, do: z.literal(StepKind.Drain), host, upstream: z.string() }),
    z.strictObject({ at, do: z.literal(StepKind.Upstream), name: z.string(), faults }),
    z.strictObject({
        at,
        do: z.literal(StepKind.Expect),
        load: z.string().optional(),
        doneAtLeast: share.optional(),
        refusedAtMost: share.optional(),
        unknownAtMost: share.optional(),
        /** Requests of which an attempt ended without a known outcome, also if a later attempt succeeded. */
        openAtMost: share.optional(),
        current: z.array(host).optional(),
        changesAccepted: z.number().int().optional(),
    }),
]);

/** What a scenario file holds; times and durations are in milliseconds. */
export const scenarioSchema = z.strictObject({
    name: z.string(),
    seeds: z.array(z.number().int()).min(1),
    hosts: z.number().int().positive(),
    steps: z.array(step).min(1),
});
