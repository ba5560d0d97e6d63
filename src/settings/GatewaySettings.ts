import type { z } from "zod";
import type { gatewaySettingsSchema } from "./gatewaySettingsSchema.js";

/** A gateway's settings. */
export type GatewaySettings = Readonly<z.output<typeof gatewaySettingsSchema>>;
