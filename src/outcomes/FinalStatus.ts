type Digit = 0 | 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9;
type ParseNumber<Text extends string> = Text extends `${infer Value extends number}` ? Value : never;

/** A status code of a final HTTP response, from 200 to 599. */
export type FinalStatus = ParseNumber<`${2 | 3 | 4 | 5}${Digit}${Digit}`>;
