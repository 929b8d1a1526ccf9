package gladewing.expr;

import com.google.re2j.Pattern;
import gladewing.expr.CompiledExpression.BoolCode;
import gladewing.expr.CompiledExpression.DoubleCode;
import gladewing.expr.CompiledExpression.Frame;
import gladewing.expr.CompiledExpression.IntCode;
import gladewing.expr.CompiledExpression.ObjectCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Compiles a checked tree to typed closures; {@link Interpreter} defines their meaning. */
final class Compiler {
    private static final int FALSE = CompiledExpression.FALSE;
    private static final int TRUE = CompiledExpression.TRUE;
    private static final int NONE = CompiledExpression.NONE;

    BoolCode compileBool(AstNode node) {
        switch (node.op) {
            case LITERAL:
                int constant = truth((Boolean) node.value);
                return f -> constant;
            case VARIABLE:
                int slot = node.slot;
                return f -> (int) f.longs[slot];
            case CONDITION:
                return condition(node.condition);
            case FIELD:
                return boolField(node);
            case NOT:
                BoolCode operand = compileBool(node.child(0));
                return f -> {
                    int value = operand.evaluate(f);
                    return value == NONE ? NONE : 1 - value;
                };
            case AND:
                return shortCircuit(node, FALSE);
            case OR:
                return shortCircuit(node, TRUE);
            case IF:
                BoolCode condition = compileBool(node.child(0));
                BoolCode then = compileBool(node.child(1));
                BoolCode otherwise = compileBool(node.child(2));
                return f -> {
                    int value = condition.evaluate(f);
                    return value == NONE
                            ? NONE
                            : value == TRUE ? then.evaluate(f) : otherwise.evaluate(f);
                };
            case OR_VALUE:
                BoolCode first = compileBool(node.child(0));
                BoolCode second = compileBool(node.child(1));
                return f -> {
                    int value = first.evaluate(f);
                    return value == NONE ? second.evaluate(f) : value;
                };
            case HAS:
                return has(node.child(0));
            case IN:
                return in(node);
            case INDEX:
                ObjectCode element = compileObject(node);
                return f -> {
                    Object value = element.evaluate(f);
                    return value == null ? NONE : truth((Boolean) value);
                };
            case ALL:
            case EXISTS:
            case ONE:
                return quantifier(node);
            case CALL:
                return predicate(node);
            default:
                return comparison(node);
        }
    }

    private static int truth(boolean value) {
        return value ? TRUE : FALSE;
    }

    private BoolCode condition(NamedCondition condition) {
        if (condition.code == null) {
            condition.code = compileBool(condition.root);
        }
        return condition.code;
    }

    private BoolCode shortCircuit(AstNode node, int decider) {
        BoolCode[] operands =
                node.children.stream().map(this::compileBool).toArray(BoolCode[]::new);
        if (operands.length == 2) {
            BoolCode first = operands[0];
            BoolCode second = operands[1];
            return f -> {
                int a = first.evaluate(f);
                if (a == decider) {
                    return a;
                }
                int b = second.evaluate(f);
                return b == decider || a != NONE ? b : a;
            };
        }
        return f -> {
            int result = 1 - decider;
            for (BoolCode operand : operands) {
                int value = operand.evaluate(f);
                if (value == decider) {
                    return value;
                }
                result = value == NONE ? NONE : result;
            }
            return result;
        };
    }

    private ObjectCode record(AstNode node) {
        if (node.op == Operator.REQUEST) {
            return f -> f.request;
        }
        int slot = node.slot;
        return node.op == Operator.VARIABLE ? f -> f.objects[slot] : compileObject(node);
    }

    private BoolCode boolField(AstNode node) {
        ObjectCode operand = record(node.child(0));
        int number = node.field.number();
        return f -> {
            RecordView view = (RecordView) operand.evaluate(f);
            return view == null || !view.has(number) ? NONE : truth(view.getBool(number));
        };
    }

    private BoolCode has(AstNode node) {
        if (node.type.is(TypeKind.BOOL)) {
            BoolCode value = compileBool(node);
            return f -> truth(value.evaluate(f) != NONE);
        }
        if (isIntOrDuration(node.type)) {
            IntCode value = compileInt(node);
            return f -> {
                value.evaluate(f);
                return truth(!f.takeNoValue());
            };
        }
        if (node.type.is(TypeKind.DOUBLE)) {
            DoubleCode value = compileDouble(node);
            return f -> {
                value.evaluate(f);
                return truth(!f.takeNoValue());
            };
        }
        ObjectCode value = compileObject(node);
        return f -> truth(value.evaluate(f) != null);
    }

    private static boolean isIntOrDuration(Type type) {
        return type.is(TypeKind.INT) || type.is(TypeKind.DURATION);
    }

    private BoolCode in(AstNode node) {
        AstNode of = node.child(1);
        Type type = node.child(0).type;
        if (of.type.is(TypeKind.MAP)) {
            ObjectCode map = compileObject(of);
            ObjectCode key = compileObject(node.child(0));
            return f -> {
                Object k = key.evaluate(f);
                Object m = map.evaluate(f);
                return k == null || m == null
                        ? NONE
                        : truth(((StringMap) m).get((String) k) != null);
            };
        }
        if (of.isLiteral() && type.is(TypeKind.STRING)) {
            Set<Object> set = new HashSet<>((List<?>) of.value);
            ObjectCode key = compileObject(node.child(0));
            return f -> {
                Object k = key.evaluate(f);
                return k == null ? NONE : truth(set.contains(k));
            };
        }
        if (of.isLiteral() && type.is(TypeKind.INT)) {
            long[] sorted =
                    ((List<?>) of.value).stream().mapToLong(v -> (Long) v).sorted().toArray();
            IntCode key = compileInt(node.child(0));
            return f -> {
                long k = key.evaluate(f);
                return f.takeNoValue() ? NONE : truth(Arrays.binarySearch(sorted, k) >= 0);
            };
        }
        ObjectCode key = compileObject(node.child(0));
        ObjectCode list = compileObject(of);
        return f -> {
            Object k = key.evaluate(f);
            List<?> all = (List<?>) list.evaluate(f);
            if (k == null || all == null) {
                return NONE;
            }
            for (int i = 0; i < all.size(); i++) {
                if (ValueOperations.equal(k, all.get(i))) {
                    return TRUE;
                }
            }
            return FALSE;
        };
    }

    /** Stores an element in the variable's slot, in the form in which its type is read. */
    private static void storeVariable(Frame f, int slot, Object element) {
        if (element instanceof Long integer) {
            f.longs[slot] = integer;
        } else if (element instanceof Double number) {
            f.longs[slot] = Double.doubleToRawLongBits(number);
        } else if (element instanceof Boolean bool) {
            f.longs[slot] = truth(bool);
        } else if (element instanceof Duration duration) {
            f.longs[slot] = ValueOperations.toMicros(duration);
        } else {
            f.objects[slot] = element;
        }
    }

    private BoolCode quantifier(AstNode node) {
        ObjectCode range = compileObject(node.child(0));
        BoolCode body = compileBool(node.child(1));
        int slot = node.slot;
        if (node.op == Operator.ONE) {
            return f -> {
                List<?> list = (List<?>) range.evaluate(f);
                int matches = list == null ? NONE : 0;
                boolean noValue = list == null;
                for (int i = 0; list != null && i < list.size(); i++) {
                    storeVariable(f, slot, list.get(i));
                    int value = body.evaluate(f);
                    noValue |= value == NONE;
                    matches += value == TRUE ? 1 : 0;
                }
                return noValue ? NONE : truth(matches == 1);
            };
        }
        int decider = node.op == Operator.EXISTS ? TRUE : FALSE;
        return f -> {
            List<?> list = (List<?>) range.evaluate(f);
            int result = list == null ? NONE : 1 - decider;
            for (int i = 0; list != null && i < list.size(); i++) {
                storeVariable(f, slot, list.get(i));
                int value = body.evaluate(f);
                if (value == decider) {
                    return value;
                }
                result = value == NONE ? NONE : result;
            }
            return result;
        };
    }

    private BoolCode predicate(AstNode node) {
        ObjectCode text = compileObject(node.child(0));
        if (node.function == Function.MATCHES) {
            Pattern pattern = node.pattern;
            return f -> {
                String a = (String) text.evaluate(f);
                return a == null ? NONE : truth(pattern.matcher(a).find());
            };
        }
        ObjectCode part = compileObject(node.child(1));
        Function function = node.function;
        return f -> {
            String a = (String) text.evaluate(f);
            String b = (String) part.evaluate(f);
            return a == null || b == null
                    ? NONE
                    : truth(
                            function == Function.STARTS_WITH
                                    ? a.startsWith(b)
                                    : function == Function.ENDS_WITH
                                            ? a.endsWith(b)
                                            : a.contains(b));
        };
    }

    private BoolCode comparison(AstNode node) {
        Operator op = node.op;
        Type type = node.child(0).type;
        if (type.is(TypeKind.BOOL)) {
            BoolCode a = compileBool(node.child(0));
            BoolCode b = compileBool(node.child(1));
            return f -> {
                int x = a.evaluate(f);
                int y = b.evaluate(f);
                return x == NONE || y == NONE ? NONE : truth(x == y == (op == Operator.EQUAL));
            };
        }
        if (isIntOrDuration(type)) {
            IntCode a = compileInt(node.child(0));
            IntCode b = compileInt(node.child(1));
            return f -> {
                long x = a.evaluate(f);
                boolean noValue = f.takeNoValue();
                long y = b.evaluate(f);
                return f.takeNoValue() || noValue ? NONE : compare(op, Long.compare(x, y));
            };
        }
        if (type.is(TypeKind.DOUBLE)) {
            DoubleCode a = compileDouble(node.child(0));
            DoubleCode b = compileDouble(node.child(1));
            return f -> {
                double x = a.evaluate(f);
                boolean noValue = f.takeNoValue();
                double y = b.evaluate(f);
                return f.takeNoValue() || noValue ? NONE : compareDoubles(op, x, y);
            };
        }
        ObjectCode a = compileObject(node.child(0));
        ObjectCode b = compileObject(node.child(1));
        if (op == Operator.EQUAL || op == Operator.UNEQUAL) {
            return f -> {
                Object x = a.evaluate(f);
                Object y = b.evaluate(f);
                return x == null || y == null
                        ? NONE
                        : truth(ValueOperations.equal(x, y) == (op == Operator.EQUAL));
            };
        }
        return f -> {
            String x = (String) a.evaluate(f);
            String y = (String) b.evaluate(f);
            return x == null || y == null ? NONE : compare(op, x.compareTo(y));
        };
    }

    private static int compare(Operator op, int order) {
        return truth(
                switch (op) {
                    case EQUAL -> order == 0;
                    case UNEQUAL -> order != 0;
                    case LESS -> order < 0;
                    case AT_MOST -> order <= 0;
                    case MORE -> order > 0;
                    default -> order >= 0;
                });
    }

    private static int compareDoubles(Operator op, double x, double y) {
        return truth(
                switch (op) {
                    case EQUAL -> x == y;
                    case UNEQUAL -> x != y;
                    case LESS -> x < y;
                    case AT_MOST -> x <= y;
                    case MORE -> x > y;
                    default -> x >= y;
                });
    }

    /** Compiles a key: an int itself, or a string's hash. */
    IntCode compileKey(AstNode node) {
        if (!node.type.is(TypeKind.STRING)) {
            return compileInt(node);
        }
        ObjectCode text = compileObject(node);
        return f -> {
            String value = (String) text.evaluate(f);
            return value == null ? f.setNoValue() : ValueOperations.hash(value);
        };
    }

    IntCode compileInt(AstNode node) {
        switch (node.op) {
            case LITERAL:
                long constant =
                        node.value instanceof Duration duration
                                ? ValueOperations.toMicros(duration)
                                : (Long) node.value;
                return f -> constant;
            case VARIABLE:
                int slot = node.slot;
                return f -> f.longs[slot];
            case FIELD:
                ObjectCode operand = record(node.child(0));
                int number = node.field.number();
                return f -> {
                    RecordView view = (RecordView) operand.evaluate(f);
                    return view == null || !view.has(number) ? f.setNoValue() : view.getInt(number);
                };
            case IF:
                BoolCode condition = compileBool(node.child(0));
                IntCode then = compileInt(node.child(1));
                IntCode otherwise = compileInt(node.child(2));
                return f -> {
                    int value = condition.evaluate(f);
                    return value == NONE
                            ? f.setNoValue()
                            : value == TRUE ? then.evaluate(f) : otherwise.evaluate(f);
                };
            case OR_VALUE:
                IntCode first = compileInt(node.child(0));
                IntCode second = compileInt(node.child(1));
                return f -> {
                    long value = first.evaluate(f);
                    return f.takeNoValue() ? second.evaluate(f) : value;
                };
            case NEGATE:
                IntCode negated = compileInt(node.child(0));
                return f -> {
                    long value = negated.evaluate(f);
                    return value == Long.MIN_VALUE ? f.setNoValue() : -value;
                };
            case INDEX:
                ObjectCode element = compileObject(node);
                return f -> {
                    Object value = element.evaluate(f);
                    return value == null
                            ? f.setNoValue()
                            : value instanceof Duration duration
                                    ? ValueOperations.toMicros(duration)
                                    : (Long) value;
                };
            case CALL:
                return intCall(node);
            default:
                return intArithmetic(node);
        }
    }

    private IntCode intArithmetic(AstNode node) {
        IntCode first = compileInt(node.child(0));
        IntCode second = compileInt(node.child(1));
        Operator op = node.op;
        return f -> {
            long a = first.evaluate(f);
            boolean noValue = f.takeNoValue();
            long b = second.evaluate(f);
            if (f.noValue || noValue) {
                return f.setNoValue();
            }
            return switch (op) {
                case ADD -> ValueOperations.sumFits(a, b) ? a + b : f.setNoValue();
                case SUBTRACT -> ValueOperations.differenceFits(a, b) ? a - b : f.setNoValue();
                case MULTIPLY -> ValueOperations.productFits(a, b) ? a * b : f.setNoValue();
                case DIVIDE -> ValueOperations.quotientFits(a, b) ? a / b : f.setNoValue();
                default -> ValueOperations.quotientFits(a, b) ? a % b : f.setNoValue();
            };
        };
    }

    private IntCode intCall(AstNode node) {
        if (node.function == Function.HASH) {
            return hash(node);
        }
        if (node.function == Function.MILLISECONDS) {
            IntCode duration = compileInt(node.child(0));
            return f -> duration.evaluate(f) / 1000;
        }
        if (node.function == Function.INT_OF_DOUBLE) {
            DoubleCode number = compileDouble(node.child(0));
            return f -> {
                double value = number.evaluate(f);
                return f.noValue || !ValueOperations.fitsInt(value) ? f.setNoValue() : (long) value;
            };
        }
        ObjectCode argument = compileObject(node.child(0));
        boolean isParse = node.function == Function.INT_OF_TEXT;
        return f -> {
            Object value = argument.evaluate(f);
            if (value == null) {
                return f.setNoValue();
            }
            if (!isParse) {
                return value instanceof String text
                        ? ValueOperations.codePoints(text)
                        : CostModel.sizeOf(value);
            }
            Long integer = ValueOperations.parseInt((String) value);
            return integer == null ? f.setNoValue() : integer;
        };
    }

    private IntCode hash(AstNode node) {
        IntCode[] arguments =
                node.children.stream().map(this::hashArgument).toArray(IntCode[]::new);
        return f -> {
            long hash = 0;
            boolean noValue = false;
            for (int i = 0; i < arguments.length; i++) {
                long argumentHash = arguments[i].evaluate(f);
                noValue |= f.takeNoValue();
                hash = i == 0 ? argumentHash : ValueOperations.hash(hash, argumentHash);
            }
            return noValue ? f.setNoValue() : hash;
        };
    }

    private IntCode hashArgument(AstNode node) {
        if (isIntOrDuration(node.type)) {
            IntCode integer = compileInt(node);
            int typeNumber = node.type.is(TypeKind.INT) ? 2 : 5;
            return f -> ValueOperations.hash(typeNumber, integer.evaluate(f));
        }
        if (node.type.is(TypeKind.DOUBLE)) {
            DoubleCode number = compileDouble(node);
            return f -> ValueOperations.hash(3, Double.doubleToLongBits(number.evaluate(f)));
        }
        if (node.type.is(TypeKind.BOOL)) {
            BoolCode bool = compileBool(node);
            return f -> {
                int value = bool.evaluate(f);
                return value == NONE ? f.setNoValue() : ValueOperations.hash(4, value);
            };
        }
        return compileKey(node);
    }

    private DoubleCode compileDouble(AstNode node) {
        switch (node.op) {
            case LITERAL:
                double constant = (Double) node.value;
                return f -> constant;
            case VARIABLE:
                int slot = node.slot;
                return f -> Double.longBitsToDouble(f.longs[slot]);
            case FIELD:
                ObjectCode operand = record(node.child(0));
                int number = node.field.number();
                return f -> {
                    RecordView view = (RecordView) operand.evaluate(f);
                    return view == null || !view.has(number)
                            ? f.setNoValue()
                            : view.getDouble(number);
                };
            case IF:
                BoolCode condition = compileBool(node.child(0));
                DoubleCode then = compileDouble(node.child(1));
                DoubleCode otherwise = compileDouble(node.child(2));
                return f -> {
                    int value = condition.evaluate(f);
                    return value == NONE
                            ? f.setNoValue()
                            : value == TRUE ? then.evaluate(f) : otherwise.evaluate(f);
                };
            case OR_VALUE:
                DoubleCode first = compileDouble(node.child(0));
                DoubleCode second = compileDouble(node.child(1));
                return f -> {
                    double value = first.evaluate(f);
                    return f.takeNoValue() ? second.evaluate(f) : value;
                };
            case NEGATE:
                DoubleCode negated = compileDouble(node.child(0));
                return f -> -negated.evaluate(f);
            case INDEX:
                ObjectCode element = compileObject(node);
                return f -> {
                    Object value = element.evaluate(f);
                    return value == null ? f.setNoValue() : (Double) value;
                };
            case CALL:
                return doubleCall(node);
            default:
                return doubleArithmetic(node);
        }
    }

    private DoubleCode doubleCall(AstNode node) {
        if (node.function == Function.DOUBLE_OF_INT) {
            IntCode integer = compileInt(node.child(0));
            return f -> integer.evaluate(f);
        }
        ObjectCode operand = compileObject(node.child(0));
        return f -> {
            String text = (String) operand.evaluate(f);
            Double value = text == null ? null : ValueOperations.parseDouble(text);
            return value == null ? f.setNoValue() : value;
        };
    }

    private DoubleCode doubleArithmetic(AstNode node) {
        DoubleCode first = compileDouble(node.child(0));
        DoubleCode second = compileDouble(node.child(1));
        Operator op = node.op;
        return f -> {
            double a = first.evaluate(f);
            boolean noValue = f.takeNoValue();
            double b = second.evaluate(f);
            f.noValue |= noValue;
            return op == Operator.ADD
                    ? a + b
                    : op == Operator.SUBTRACT ? a - b : op == Operator.MULTIPLY ? a * b : a / b;
        };
    }

    /** Compiles a node of any type to code that returns an object; numbers and bools are boxed. */
    private ObjectCode compileObject(AstNode node) {
        if (node.type.is(TypeKind.BOOL)) {
            BoolCode bool = node.op == Operator.INDEX ? null : compileBool(node);
            if (bool != null) {
                return f -> {
                    int value = bool.evaluate(f);
                    return value == NONE ? null : (Object) (value == TRUE);
                };
            }
        } else if (isIntOrDuration(node.type) && node.op != Operator.INDEX) {
            IntCode integer = compileInt(node);
            boolean isDuration = node.type.is(TypeKind.DURATION);
            return f -> {
                long value = integer.evaluate(f);
                return f.takeNoValue()
                        ? null
                        : isDuration ? ValueOperations.durationOfMicros(value) : (Object) value;
            };
        } else if (node.type.is(TypeKind.DOUBLE) && node.op != Operator.INDEX) {
            DoubleCode number = compileDouble(node);
            return f -> {
                double value = number.evaluate(f);
                return f.takeNoValue() ? null : (Object) value;
            };
        }
        return nativeObject(node);
    }

    private ObjectCode nativeObject(AstNode node) {
        switch (node.op) {
            case LITERAL:
                Object constant = node.value;
                return f -> constant;
            case REQUEST:
            case VARIABLE:
                return record(node);
            case FIELD:
                ObjectCode operand = record(node.child(0));
                int number = node.field.number();
                long maxSize = node.field.bound().size();
                return f -> {
                    RecordView view = (RecordView) operand.evaluate(f);
                    Object value = view == null ? null : view.getObject(number);
                    return value == null || CostModel.sizeOf(value) > maxSize ? null : value;
                };
            case INDEX:
                return elementAt(node);
            case IF:
                BoolCode condition = compileBool(node.child(0));
                ObjectCode then = compileObject(node.child(1));
                ObjectCode otherwise = compileObject(node.child(2));
                return f -> {
                    int value = condition.evaluate(f);
                    return value == NONE
                            ? null
                            : value == TRUE ? then.evaluate(f) : otherwise.evaluate(f);
                };
            case OR_VALUE:
                ObjectCode first = compileObject(node.child(0));
                ObjectCode second = compileObject(node.child(1));
                return f -> {
                    Object value = first.evaluate(f);
                    return value == null ? second.evaluate(f) : value;
                };
            case ADD:
                return concatenation(node);
            case LIST:
                ObjectCode[] elements =
                        node.children.stream().map(this::compileObject).toArray(ObjectCode[]::new);
                return f -> {
                    Object[] all = evaluateAll(elements, f);
                    return all == null ? null : Arrays.asList(all);
                };
            case MAP:
                ObjectCode[] pairs =
                        node.children.stream().map(this::compileObject).toArray(ObjectCode[]::new);
                return f -> {
                    Object[] all = evaluateAll(pairs, f);
                    return all == null ? null : Interpreter.map(all);
                };
            case FILTER:
                return filter(node);
            case TRANSFORM:
                return transform(node);
            default:
                return stringCall(node);
        }
    }

    /** Evaluates all; returns null if one has no value. */
    private static Object[] evaluateAll(ObjectCode[] codes, Frame f) {
        Object[] all = new Object[codes.length];
        boolean noValue = false;
        for (int i = 0; i < codes.length; i++) {
            all[i] = codes[i].evaluate(f);
            noValue |= all[i] == null;
        }
        return noValue ? null : all;
    }

    private ObjectCode elementAt(AstNode node) {
        ObjectCode operand = compileObject(node.child(0));
        long maxSize = node.bound.size();
        if (node.child(0).type.is(TypeKind.MAP)) {
            ObjectCode key = compileObject(node.child(1));
            return f -> {
                StringMap map = (StringMap) operand.evaluate(f);
                String k = (String) key.evaluate(f);
                String value = map == null || k == null ? null : map.get(k);
                return value == null || value.length() > maxSize ? null : value;
            };
        }
        IntCode index = compileInt(node.child(1));
        return f -> {
            List<?> list = (List<?>) operand.evaluate(f);
            long at = index.evaluate(f);
            return f.takeNoValue() || list == null || at < 0 || at >= list.size()
                    ? null
                    : list.get((int) at);
        };
    }

    private ObjectCode concatenation(AstNode node) {
        ObjectCode a = compileObject(node.child(0));
        ObjectCode b = compileObject(node.child(1));
        if (node.type.is(TypeKind.STRING)) {
            return f -> {
                String x = (String) a.evaluate(f);
                String y = (String) b.evaluate(f);
                return x == null || y == null ? null : x.concat(y);
            };
        }
        return f -> {
            List<?> x = (List<?>) a.evaluate(f);
            List<?> y = (List<?>) b.evaluate(f);
            if (x == null || y == null) {
                return null;
            }
            List<Object> joined = new ArrayList<>(x);
            joined.addAll(y);
            return joined;
        };
    }

    private ObjectCode filter(AstNode node) {
        ObjectCode range = compileObject(node.child(0));
        BoolCode body = compileBool(node.child(1));
        int slot = node.slot;
        return f -> {
            List<?> list = (List<?>) range.evaluate(f);
            boolean noValue = list == null;
            List<Object> kept = new ArrayList<>();
            for (int i = 0; list != null && i < list.size(); i++) {
                storeVariable(f, slot, list.get(i));
                int value = body.evaluate(f);
                noValue |= value == NONE;
                if (value == TRUE) {
                    kept.add(list.get(i));
                }
            }
            return noValue ? null : kept;
        };
    }

    private ObjectCode transform(AstNode node) {
        ObjectCode range = compileObject(node.child(0));
        ObjectCode body = compileObject(node.child(1));
        int slot = node.slot;
        return f -> {
            List<?> list = (List<?>) range.evaluate(f);
            boolean noValue = list == null;
            List<Object> results = new ArrayList<>();
            for (int i = 0; list != null && i < list.size(); i++) {
                storeVariable(f, slot, list.get(i));
                Object value = body.evaluate(f);
                noValue |= value == null;
                results.add(value);
            }
            return noValue ? null : results;
        };
    }

    private ObjectCode stringCall(AstNode node) {
        ObjectCode operand = compileObject(node.child(0));
        if (node.function == Function.LOWER_ASCII) {
            return f -> {
                String text = (String) operand.evaluate(f);
                return text == null ? null : ValueOperations.lowerAscii(text);
            };
        }
        return f -> {
            Object value = operand.evaluate(f);
            return value == null
                    ? null
                    : value instanceof Duration duration
                            ? ValueOperations.formatDuration(ValueOperations.toMicros(duration))
                            : value.toString();
        };
    }
}
