# tamarack_library(NAME SOURCES... DEPENDS...): one package of the workspace, with public headers in include/.
function(tamarack_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(tamarack_${name} STATIC ${ARG_SOURCES})
    target_include_directories(tamarack_${name}
        PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(tamarack_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# tamarack_test(NAME SOURCES... DEPENDS...): one Catch2 program, run by ctest.
function(tamarack_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE tamarack_test_main ${ARG_DEPENDS})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
