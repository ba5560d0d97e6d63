import type { Service } from "../configuration/index.js";
import type { GatewaySettings } from "../settings/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "./GATEWAY_SERVICE_DEFAULTS.js";

/** Share of the allowed retries that is granted as a steady rate; the rest is for bursts of retries on the hosts. */
const RETRY_RATE_SHARE = 0.4;

/**
 * Creates the settings that are the same for every service.
 * @param settings - The gateway's settings.
 */
export function createServiceDefaults(settings: GatewaySettings): Omit<Service, "name" | "upstreams"> {
    const { floor, retryBudget, retrySlack, retryWindowSeconds } = settings;
    return {
        ...GATEWAY_SERVICE_DEFAULTS,
        floor,
        retryBudget,
        retryRate: RETRY_RATE_SHARE * retrySlack / retryWindowSeconds,
        retryBurst: (1 - RETRY_RATE_SHARE) * retrySlack,
    };
}
