import { ServiceBench } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { EjectionPolicy } from "../../src/services/index.js";

const SERVICE_TIME_MS = 40;

/**
 * Creates a bench with the settings of a gateway, whose host is the first of two service hosts.
 * @param upstreams - Number of upstreams.
 * @param slots - Slots of each.
 */
export function createPromptBench(upstreams: number, slots = 6): ServiceBench {
    return new ServiceBench({
        upstreams,
        slots,
        policy: EjectionPolicy.Prompt,
        isFirstOfTwo: true,
        service: GATEWAY_SERVICE_DEFAULTS,
        fakes: { serviceTimeMs: SERVICE_TIME_MS },
    });
}
