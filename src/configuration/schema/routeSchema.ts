import { z } from "zod";
import { KeylessOrderPolicy } from "../KeylessOrderPolicy.js";
import type { Route } from "../Route.js";
import { RouteAccess } from "../RouteAccess.js";
import { RouteKind } from "../RouteKind.js";
import { nameSchema } from "./nameSchema.js";
import { pathSchema } from "./pathSchema.js";

const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"] as const;
const MAX_LISTED_ACCOUNTS = 500;
const MAX_DEADLINE_MS = 600_000;
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Schema of a route, with the rules between its fields. */
export const routeSchema: z.ZodType<Route> = z.strictObject({
    name: nameSchema,
    path: pathSchema,
    methods: z.array(z.enum(METHODS)).min(1).max(METHODS.length),
    service: nameSchema,
    kind: z.enum(RouteKind),
    access: z.enum(RouteAccess),
    accounts: z.array(nameSchema).min(1).max(MAX_LISTED_ACCOUNTS).optional(),
    keylessOrders: z.enum(KeylessOrderPolicy).optional(),
    deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS),
    maxBodyBytes: z.int().min(0).max(MAX_BODY_BYTES),
}).superRefine(checkRoute);

function checkRoute(route: Route, context: z.RefinementCtx): void {
    const report = (field: keyof Route, message: string): void => {
        context.addIssue({ code: "custom", path: [field], message });
    };
    if (route.accounts !== undefined && route.access === RouteAccess.Open) {
        report("accounts", "a route that is open to all can't list accounts");
    }
    if (route.kind === RouteKind.Order && route.access === RouteAccess.Open) {
        report("access", "a route of orders needs client accounts");
    }
    if (route.kind !== RouteKind.Order && route.keylessOrders !== undefined) {
        report("keylessOrders", "is allowed on routes of orders only");
    }
    if (new Set(route.methods).size < route.methods.length) {
        report("methods", "lists a method twice");
    }
    if (new Set(route.accounts).size < (route.accounts?.length ?? 0)) {
        report("accounts", "lists an account twice");
    }
}
